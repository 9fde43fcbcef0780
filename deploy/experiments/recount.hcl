# A reload tells half of the nodes of twice as many copies while calls are out.
experiment "recount" {
  like = "even"
  note = "half of the nodes are told of another number of copies"
}

callers {
  utilisation = 0.6
}

fault "reload" {
  kind = "recount"
  from = "6s"
  to   = "8s"
  over  = "1s"
  part  = 0.5
  count = 400
}
