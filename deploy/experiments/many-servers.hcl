# 400 servers for 60 nodes: a part is a small share of the list.
experiment "many-servers" {
  like = "even"
  note = "60 nodes over 400 servers"
}

nodes "front" {
  count = 60
}

servers "box" {
  count   = 400
  slots   = 1
  queue   = 40
  service = "150ms"
}
