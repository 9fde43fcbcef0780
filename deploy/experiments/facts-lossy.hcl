# Three in ten datagrams are lost: beyond what freshness is promised for. What is said must still be true.
experiment "facts-lossy" {
  like    = "facts"
  note    = "ages are not under-reported where most of what is known is stale"
}

fault "lossy" {
  kind = "slow"
  from = "8s"
  to   = "33s"
  loss = 0.3
}
