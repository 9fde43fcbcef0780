# Callers come again as soon as they are refused, at a load that the servers cannot bear.
experiment "surge" {
  like = "even"
  note = "an overload with callers that retry"
}

callers {
  utilisation = 1.3
  retries     = 2
  wait        = "100ms"
}
