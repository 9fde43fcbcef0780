# A zone's nodes hear nothing of the registry for 6 s while half of the servers are replaced: they go by an old list.
experiment "registry-cut" {
  like = "even"
  note = "a zone's nodes are cut off from the registry while servers are replaced"
}

callers {
  utilisation = 0.5
}

fault "deaf" {
  kind = "cut"
  from = "6s"
  to   = "12s"
  near = ["a"]
  far  = ["registry"]
}

fault "roll" {
  kind = "replace"
  from = "7s"
  to   = "13s"
  over = "3s"
  part = 0.5
}
