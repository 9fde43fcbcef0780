# For 15 s nothing from one zone's nodes comes to another's; the third hears both.
experiment "peers-one-way" {
  note    = "a zone that another does not hear, though a third does"
  seed    = 1
  warm_up = "5s"
  measure = "35s"
  peers   = "1s"
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
  utilisation = 0.3
}

fault "cut" {
  kind = "cut_there"
  from = "15s"
  to   = "30s"
  near = ["a"]
  far  = ["b"]
}
