# A zone's servers say nothing for 5 s to anybody outside.
experiment "zone-silent" {
  like = "even"
  note = "a zone is cut off from the others for 5 s"
}

callers {
  utilisation = 0.5
}

fault "cut" {
  kind = "cut"
  from = "6s"
  to   = "11s"
  near = ["a", "b"]
  far  = ["c"]
}
