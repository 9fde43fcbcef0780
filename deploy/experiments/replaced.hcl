# All servers are replaced within 7 s, and the new ones are cold.
experiment "replaced" {
  note    = "all servers are replaced within 7 s"
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
  utilisation = 0.4
}

fault "roll" {
  kind = "replace"
  from = "5s"
  to   = "12s"
  over = "7s"
}
