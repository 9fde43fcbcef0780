# Ten of 200 nodes are killed at once, five are stopped, and of datagrams one in twenty is lost, one comes twice, one in ten late.
experiment "peers-killed" {
  like    = "even"
  note    = "who learns of dead nodes, and when"
  measure = "40s"
  peers   = "1s"
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
  kind    = "slow"
  from    = "10s"
  to      = "30s"
  loss    = 0.05
  double  = 0.05
  reorder = 0.1
}
