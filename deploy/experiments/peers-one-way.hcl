# For 15 s nothing from one zone's nodes comes to another's; the third hears both.
experiment "peers-one-way" {
  like    = "even"
  note    = "a zone that another does not hear, though a third does"
  measure = "35s"
  peers   = "1s"
}

callers {
  utilisation = 0.3
}

fault "cut" {
  kind = "cut_there"
  from = "15s"
  to   = "30s"
  near = ["a"]
  far  = ["b"]
}
