# A release: half of all nodes end and begin anew within 2 s.
experiment "restarts" {
  like = "even"
  note = "half of the nodes restart within 2 s"
}

callers {
  utilisation = 0.6
}

fault "release" {
  kind = "restart"
  from = "6s"
  to   = "8s"
  over = "2s"
  part = 0.5
}
