# For 10 s zone a is cut off from the others, both ways; for 10 s more, only what it sends is lost.
experiment "facts-cut" {
  like    = "facts"
  note    = "what nodes say of zones that they cannot hear, and when they hear them again"
  measure = "45s"
}

fault "apart" {
  kind = "cut"
  from = "12s"
  to   = "22s"
  near = ["a"]
  far  = ["b", "c"]
  both = true
}

fault "one-way" {
  kind = "cut_there"
  from = "32s"
  to   = "42s"
  near = ["a"]
  far  = ["b", "c"]
}
