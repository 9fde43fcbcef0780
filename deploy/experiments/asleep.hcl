# A fifth of the nodes is stopped for 3 s and wakes with yesterday's view, while servers are replaced.
experiment "asleep" {
  like = "cold"
  note = "nodes that sleep wake with an old view"
}

callers {
  utilisation = 0.5
}

fault "sleep" {
  kind = "stop"
  from = "6s"
  to   = "9s"
  part = 0.2
}

fault "roll" {
  kind = "replace"
  from = "6s"
  to   = "12s"
  over = "3s"
  part = 0.3
}
