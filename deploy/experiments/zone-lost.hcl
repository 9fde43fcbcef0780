# A zone's servers vanish for 5 s and come back cold.
experiment "zone-lost" {
  note    = "a zone's servers are lost and come back cold"
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

servers "ab" {
  count   = 40
  slots   = 2
  queue   = 40
  service = "150ms"
  zones   = ["a", "b"]
  cold {
    from = 0.25
    over = "8s"
  }
}

servers "c" {
  count   = 20
  slots   = 2
  queue   = 40
  service = "150ms"
  zones   = ["c"]
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
  utilisation = 0.45
}

fault "loss" {
  kind = "lose"
  from = "6s"
  to   = "11s"
  group = "c"
}
