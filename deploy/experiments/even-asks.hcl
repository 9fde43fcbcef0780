# The same, and a node asks four servers what they hold before it sends a call to one of them.
experiment "even-asks" {
  like = "even-reports"
  note = "load spread by 200 nodes that ask servers what they hold"
}

nodes "front" {
  count = 200
  asks  = 4
}
