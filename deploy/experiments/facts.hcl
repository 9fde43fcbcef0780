# 200 nodes in three zones tell one another of their zones; nothing fails.
experiment "facts" {
  like    = "even"
  note    = "how old is what nodes know of zones, and what does it take"
  measure = "30s"
  peers   = "1s"
  fresh   = "2s"
}

callers {
  utilisation = 0.3
}
