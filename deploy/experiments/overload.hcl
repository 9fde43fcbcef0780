# More than the servers can do, of classes of different worth, with callers that come again.
experiment "overload" {
  like    = "even"
  note    = "1.4 times what the servers can do, of classes of 12, 1 and 1"
  warm_up = "5s"
  measure = "15s"
}

nodes "front" {
  count = 40
}

servers "box" {
  count   = 20
  slots   = 2
  queue   = 40
  service = "150ms"
}

class "view" {
  effect   = "safe"
  aim      = "1s"
  deadline = "3s"
  share    = 0.5
  worth    = 12
}
class "note" {
  effect   = "unsafe"
  aim      = "1s"
  deadline = "3s"
  share    = 0.3
  worth    = 1
}
class "log" {
  effect   = "unsafe"
  aim      = "1s"
  deadline = "3s"
  share    = 0.2
  worth    = 1
}

callers {
  utilisation = 1.4
  retries     = 1
}
