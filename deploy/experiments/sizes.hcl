# Servers of three sizes, as the list says.
experiment "sizes" {
  note    = "servers of three sizes"
  seed    = 1
  warm_up = "5s"
  measure = "10s"
}

zone "a" {}
zone "b" {}
zone "c" {}

link "a" "b" {
  delay = "500us"
}
link "b" "c" {
  delay = "500us"
}
link "a" "c" {
  delay = "500us"
}

nodes "front" {
  count = 200
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

class "view" {
  effect   = "safe"
  aim      = "1s"
  deadline = "3s"
  share    = 0.7
}
class "note" {
  effect   = "unsafe"
  aim      = "1s"
  deadline = "3s"
  share    = 0.3
}

callers {
  utilisation = 0.75
}
