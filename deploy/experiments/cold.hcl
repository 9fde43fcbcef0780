# One server in five is gone for 3 s and comes back cold: all nodes see it free at the same instant.
experiment "cold" {
  like = "even"
  note = "twelve servers come back cold at the same instant"
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
  utilisation = 0.6
}

fault "gone" {
  kind = "crash"
  from = "5s"
  to   = "8s"
  part = 0.2
}
