# All servers are replaced within 7 s, and the new ones are cold.
experiment "replaced" {
  like = "even"
  note = "all servers are replaced within 7 s"
}

servers "box" {
  count   = 60
  slots   = 2
  queue   = 40
  service = "150ms"
  cold {
    from = 0.25
    over = "8s"
  }
}

callers {
  utilisation = 0.4
}

fault "roll" {
  kind = "replace"
  from = "5s"
  to   = "12s"
  over = "7s"
}
