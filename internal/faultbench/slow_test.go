package faultbench

import "testing"

// Guards against a cut of a sound reply or upload, and a late answer, while servers and clients send and read slowly.
func TestSlowTransfersAreNeitherCutNorAnsweredLate(t *testing.T) {
	res := play(t, busyLongLink+`
fault "replies" {
  kind      = "slow_reply"
  from      = "0s"
  to        = "6500ms"
  share     = 0.1
  bandwidth = 30000
}
fault "reads" {
  kind      = "slow_read"
  from      = "0s"
  to        = "6500ms"
  share     = 0.3
  bandwidth = 400000
}
fault "clients" {
  kind      = "slow_clients"
  from      = "0s"
  to        = "6500ms"
  share     = 0.03
  bandwidth = 50000
}
`)
	if f := res.Figures; res.Slow == "" && f.Calls < 500 {
		t.Errorf("%d requests, want at least 500", f.Calls)
	}
}
