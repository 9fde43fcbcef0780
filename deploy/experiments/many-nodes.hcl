# Five servers for 300 nodes: each node's part is all of them.
experiment "many-nodes" {
  like = "even"
  note = "300 nodes over 5 servers"
}

nodes "front" {
  count = 300
}

servers "box" {
  count   = 5
  slots   = 24
  queue   = 200
  service = "150ms"
}
