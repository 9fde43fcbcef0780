# Links between two zones lose, delay and reset; the registry says nothing meanwhile.
experiment "ragged" {
  like = "even"
  note = "slow, lossy and half refused links, and a silent registry"
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
