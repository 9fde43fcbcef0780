# Callers leave after 300 ms, and views are worth ten notes.
experiment "impatient" {
  like = "even"
  note = "callers that leave before their time is up"
}

class "view" {
  effect   = "safe"
  aim      = "300ms"
  deadline = "3s"
  share    = 0.7
  worth    = 10
}
class "note" {
  effect   = "unsafe"
  aim      = "300ms"
  deadline = "3s"
  share    = 0.3
}

callers {
  utilisation = 0.75
  patience    = "300ms"
}
