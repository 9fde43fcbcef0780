# A zone's servers vanish for 5 s and come back cold.
experiment "zone-lost" {
  like = "even"
  note = "a zone's servers are lost and come back cold"
}

servers "ab" {
  count   = 40
  slots   = 2
  queue   = 40
  service = "150ms"
  zones   = ["a", "b"]
  cold {
    from = 0.25
    over = "8s"
  }
}

servers "c" {
  count   = 20
  slots   = 2
  queue   = 40
  service = "150ms"
  zones   = ["c"]
  cold {
    from = 0.25
    over = "8s"
  }
}

callers {
  utilisation = 0.45
}

fault "loss" {
  kind = "lose"
  from = "6s"
  to   = "11s"
  group = "c"
}
