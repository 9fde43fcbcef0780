# Half of the servers are replaced while nodes hear of it up to 4 s apart.
experiment "lists" {
  like = "even"
  note = "lists of different age at different nodes"
}

callers {
  utilisation = 0.5
}

registry {
  lag      = "100ms"
  lag_most = "4s"
}

fault "roll" {
  kind = "replace"
  from = "5s"
  to   = "12s"
  over = "3s"
  part = 0.5
}
