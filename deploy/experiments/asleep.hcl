# A fifth of the nodes is stopped for 3 s and wakes with yesterday's view, while servers are replaced.
experiment "asleep" {
  note    = "nodes that sleep wake with an old view"
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
  count = 200
}

servers "box" {
  count   = 60
  slots   = 2
  queue   = 40
  service = "150ms"
  cold {
    from = 0.25
    over = "8s"
  }
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
  utilisation = 0.5
}

fault "sleep" {
  kind = "stop"
  from = "6s"
  to   = "9s"
  part = 0.2
}

fault "roll" {
  kind = "replace"
  from = "6s"
  to   = "12s"
  over = "3s"
  part = 0.3
}
