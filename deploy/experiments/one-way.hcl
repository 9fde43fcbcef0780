# For 3 s nothing from one zone's nodes reaches another's servers; what comes back does.
experiment "one-way" {
  like = "even"
  note = "a zone is cut off one way"
}

callers {
  utilisation = 0.5
}

fault "cut" {
  kind = "cut_there"
  from = "6s"
  to   = "9s"
  near = ["a"]
  far  = ["b"]
}
