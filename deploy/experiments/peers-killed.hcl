# Ten of 200 nodes are killed at once, five are stopped, and one datagram in twenty is lost meanwhile.
experiment "peers-killed" {
  note    = "who learns of dead nodes, and when"
  seed    = 1
  warm_up = "5s"
  measure = "40s"
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

fault "dead" {
  kind  = "kill"
  from  = "15s"
  to    = "43s"
  count = 10
}
fault "asleep" {
  kind  = "stop"
  from  = "16s"
  to    = "22s"
  count = 5
}
fault "lossy" {
  kind = "slow"
  from = "10s"
  to   = "30s"
  loss = 0.05
}
