# One node has a hundred times the mean of all.
experiment "hot" {
  like = "even"
  note = "one node with a hundred times the mean"
}

nodes "front" {
  count = 199
}

nodes "hot" {
  count = 1
  times = 100
}

callers {
  utilisation = 0.6
}
