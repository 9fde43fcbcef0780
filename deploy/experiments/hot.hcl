# One node has a hundred times the mean of all.
experiment "hot" {
  note    = "one node with a hundred times the mean"
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
  count = 199
}

nodes "hot" {
  count = 1
  times = 100
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
  utilisation = 0.6
}
