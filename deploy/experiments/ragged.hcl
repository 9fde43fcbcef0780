# Links between two zones lose, delay and reset; the registry says nothing meanwhile.
experiment "ragged" {
  note    = "slow, lossy and half refused links, and a silent registry"
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

fault "lossy" {
  kind = "slow"
  from = "6s"
  to   = "12s"
  near   = ["a"]
  far    = ["b", "c"]
  delay  = "5ms"
  jitter = "10ms"
  loss   = 0.02
}

fault "half" {
  kind = "refuse"
  from = "7s"
  to   = "10s"
  near = ["b"]
  far  = ["c"]
  part = 0.5
}

fault "reset" {
  kind = "reset"
  from = "10s"
  to   = "10500ms"
  near = ["b"]
}

fault "mute" {
  kind = "mute"
  from = "6s"
  to   = "12s"
}
