# Two servers take calls and answer none.
experiment "hang" {
  like = "even"
  note = "two servers hang"
}

callers {
  utilisation = 0.6
}

fault "hung" {
  kind = "hang"
  from = "5s"
  to   = "10s"
  count = 2
}
