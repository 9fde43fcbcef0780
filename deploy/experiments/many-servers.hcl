# 400 servers for 60 nodes: a part is a small share of the list.
experiment "many-servers" {
  note    = "60 nodes over 400 servers"
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
  count = 60
}

servers "box" {
  count   = 400
  slots   = 1
  queue   = 40
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
