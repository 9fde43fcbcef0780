# All servers are replaced within 7 s, and the new ones are cold.
experiment "replaced" {
  like = "cold"
  note = "all servers are replaced within 7 s"
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
