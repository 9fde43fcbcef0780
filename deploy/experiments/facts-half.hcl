# Of 300 nodes that start together half are killed within a second, and come back together half a minute later.
experiment "facts-half" {
  like    = "facts"
  note    = "who knows of 150 deaths and of 150 that come back, and how fresh what is known stays"
  measure = "60s"
}

nodes "front" {
  count = 300
}

fault "half" {
  kind = "kill"
  from = "12s"
  to   = "45s"
  over = "1s"
  part = 0.5
}
