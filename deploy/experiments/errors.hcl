# Two servers answer errors at once: by own counts they look idle.
experiment "errors" {
  like = "even"
  note = "two servers answer errors at once"
}

callers {
  utilisation = 0.6
}

fault "bad" {
  kind = "errors"
  from = "5s"
  to   = "10s"
  count = 2
}
