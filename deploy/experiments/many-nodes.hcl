# Five servers for 300 nodes: each node's part is all of them.
experiment "many-nodes" {
  note    = "300 nodes over 5 servers"
  seed    = 1
  warm_up = "5s"
  measure = "10s"
}

zone "a" {}
zone "b" {}
zone "c" {}

link "a" "b" {
  delay = "500us"
}
link "b" "c" {
  delay = "500us"
}
link "a" "c" {
  delay = "500us"
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

class "view" {
  effect   = "safe"
  aim      = "1s"
  deadline = "3s"
  share    = 0.7
}
class "note" {
  effect   = "unsafe"
  aim      = "1s"
  deadline = "3s"
  share    = 0.3
}

callers {
  utilisation = 0.75
}
