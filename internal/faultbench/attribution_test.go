package faultbench

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/testpeer"
)

// busyLongLink is a node that keeps the connections to four servers busy, over a link of 12 ms one way with jitter.
const busyLongLink = `experiment "long-link" {
  seed    = 11
  warm_up = "500ms"
  measure = "6s"
}
zone "near" {}
zone "far" {}
link "near" "far" {
  delay  = "12ms"
  jitter = "3400us"
}
nodes "front" {
  count = 1
  zones = ["near"]
}
servers "box" {
  count   = 4
  zones   = ["far"]
  slots   = 64
  queue   = 100
  service = "8ms"
  draw    = "uniform"
}
class "view" {
  effect   = "safe"
  aim      = "1s"
  deadline = "2s"
  share    = 0.5
}
class "note" {
  effect   = "unsafe"
  aim      = "1s"
  deadline = "2s"
  share    = 0.5
}
callers {
  rate = 250
}
`

// Guards against serving a request with a server's late second reply to an earlier request on the same connection.
func TestLateSecondReplyIsServedToNoOtherRequest(t *testing.T) {
	res := play(t, busyLongLink+`
fault "twice" {
  kind   = "repeat"
  from   = "0s"
  to     = "6500ms"
  share  = 0.3
  jitter = "9ms"
}
`)
	if f := res.Figures; res.Slow == "" && (f.Calls < 1000 || f.Served < 0.9) {
		t.Errorf("%d requests, %.3f served; want at least 1000 and 0.9", f.Calls, f.Served)
	}
}

// Guards against an auditor that does not find a wrong body: a planted server answers with the reply to another request.
func TestWrongBodyNamesTheRequestItWasMadeFor(t *testing.T) {
	server := testpeer.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		return testpeer.Reply200(c, "s1 c0.7")
	})
	e, err := experiment.Parse([]byte(busyLongLink), "planted", nil)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{experiment: e, audit: audit.New()}
	f.setStart(time.Now())
	conn := testpeer.Dial(t, server.Address())
	n := &node{fleet: f}
	f.audit.RecordRequest(audit.Request{ID: "c0.8", At: f.now(), Deadline: time.Second})
	outcome, detail, _, reusable := (&exchange{n, conn, "c0.8", e.Classes[0], nil, time.Second}).roundTrip()
	f.audit.RecordOutcome("c0.8", outcome, f.now(), detail)
	if outcome != audit.WrongResponse || detail != "the reply that s1 made for c0.7" || reusable {
		t.Errorf("outcome %v, detail %q, reusable %v", outcome, detail, reusable)
	}
	if breaches := f.audit.Breaches(0); len(breaches) != 1 || !strings.Contains(breaches[0].Words, "c0.7") {
		t.Errorf("breaches: %v", breaches)
	}
}
