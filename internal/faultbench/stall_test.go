package faultbench

import "testing"

// Guards against a request without a final response: its server stops behind the head of a reply that the node streams.
func TestServersThatStopBehindReplyHeadLoseNoRequest(t *testing.T) {
	res := play(t, busyLongLink+`
fault "stall" {
  kind  = "stall"
  from  = "0s"
  to    = "6500ms"
  share = 0.05
}
`)
	if f := res.Figures; res.Slow == "" && f.Calls < 500 {
		t.Errorf("%d requests, want at least 500", f.Calls)
	}
}
