# The same, and servers say in their answers what they hold.
experiment "even-reports" {
  like = "even"
  note = "load spread by 200 nodes over servers that say what they hold"
}

servers "box" {
  count   = 60
  slots   = 2
  queue   = 40
  service = "150ms"
  reports = true
}
