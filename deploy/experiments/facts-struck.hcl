# Of 200 nodes a tenth sleeps for 3 s, three times over, and ten are killed; one datagram in ten is lost, one in twenty comes twice.
experiment "facts-struck" {
  like    = "facts"
  note    = "how fresh what nodes know stays among sleepers, dead and losses"
  measure = "45s"
}

fault "lossy" {
  kind    = "slow"
  from    = "8s"
  to      = "48s"
  loss    = 0.1
  double  = 0.05
  reorder = 0.1
}

fault "asleep-1" {
  kind  = "stop"
  from  = "12s"
  to    = "15s"
  part  = 0.1
}

fault "asleep-2" {
  kind  = "stop"
  from  = "18s"
  to    = "21s"
  part  = 0.1
}

fault "asleep-3" {
  kind  = "stop"
  from  = "24s"
  to    = "27s"
  part  = 0.1
}

fault "dead" {
  kind  = "kill"
  from  = "30s"
  to    = "45s"
  count = 10
}
