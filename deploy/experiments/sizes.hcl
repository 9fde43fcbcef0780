# Servers of three sizes, as the list says.
experiment "sizes" {
  like = "even"
  note = "servers of three sizes"
}

servers "small" {
  count   = 20
  slots   = 1
  queue   = 20
  service = "150ms"
  size    = 1
}

servers "middle" {
  count   = 20
  slots   = 2
  queue   = 40
  service = "150ms"
  size    = 2
}

servers "large" {
  count   = 20
  slots   = 4
  queue   = 80
  service = "150ms"
  size    = 4
}
