# One server in five is gone for 3 s and comes back cold: all nodes see it free at the same instant.
experiment "cold" {
  note    = "twelve servers come back cold at the same instant"
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
  utilisation = 0.6
}

fault "gone" {
  kind = "crash"
  from = "5s"
  to   = "8s"
  part = 0.2
}
