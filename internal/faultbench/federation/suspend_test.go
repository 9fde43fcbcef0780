package federation

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// activeGateway returns a gateway of the partner that is processing a request.
func (l *Federation) activeGateway(t *testing.T, partner int) (active *Gateway) {
	t.Helper()
	for _, g := range l.PartnerGateways(partner) {
		if g.ReplicationStatus(t.Context()).Active > 0 {
			active = g
		}
	}
	if active == nil {
		t.Fatal("no gateway of the partner has an active request")
	}
	return active
}

// sendHeld sends a request to p0's first gateway and waits until a server has it; servers delay it until release is called.
// auditKey identifies the request to the auditor, and got receives the names of further servers.
func (l *Federation) sendHeld(t *testing.T, c Request) (auditKey string, got <-chan string, release func(), pending <-chan Outcome) {
	t.Helper()
	auditKey = c.ID
	if c.Class == "log" {
		c.Key, auditKey = "key-"+c.ID, "key-"+c.ID
	}
	got, release = l.Auditor.Hold(c.ID)
	pending = async(func() Outcome { return l.Send(t.Context(), l.Gateway(0, 0), c) })
	testpeer.Receive(t, got, "the request at its server")
	return auditKey, got, release, pending
}

// A partner's gateway is suspended while it processes a request: its connection stays open but silent. Others of its group detect
// this and report the outcome, long before the deadline. When it resumes, it starts nothing.
func TestPartnerGatewaySuspendedDuringRequest(t *testing.T) {
	l := startFederation(t, Options{Custody: "refuse", Silence: time.Second, Deadline: 10 * testpeer.Limit})
	for _, c := range []struct {
		class        string
		status, runs int
	}{{"log", 200, 1}, {"view", 200, 2}, {"note", 502, 1}} {
		auditKey, got, release, pending := l.sendHeld(t, Request{ID: "stopped-" + c.class, Class: c.class, Path: "p1/x"})
		active := l.activeGateway(t, 1)
		if err := active.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		if c.class == "view" {
			testpeer.Receive(t, got, "the request at another server")
		}
		release()
		h := testpeer.Receive(t, pending, "the response, long before the deadline")
		if h.Status != c.status || !h.Settled || h.Status == 200 && !strings.HasPrefix(h.Body, "p1-b") {
			t.Errorf("%s: %+v, want %d", c.class, h, c.status)
		}
		if err := active.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		waitSettled(t, l)
		if ran, _ := countRuns(l.Auditor.Runs(auditKey)); ran != c.runs {
			t.Errorf("%s: ran %d times, want %d", c.class, ran, c.runs)
		}
	}
}

// A request with a short deadline does not wait until the link to its owner is closed: its replicas suspect the owner earlier, and
// another gateway serves the request while the link is still open.
func TestSilentReplicaIsSuspectedBeforeLinkEnds(t *testing.T) {
	const silence = 6 * time.Second
	l := startFederation(t, Options{Custody: "refuse", Silence: silence, Period: 10 * time.Second})
	owner, successor := l.Gateway(0, 0), l.Gateway(0, 1)
	n := 0
	testpeer.Until(t, "a request to be served by a successor whose link to the suspended owner is open", func() bool {
		n++
		owner.Kill()
		owner.SetEnv("DAMSONTRESTLE_FAULT=custody.intended:1:stop")
		if err := owner.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		waitSettled(t, l)
		incarnation := owner.Status(t.Context()).Incarnation
		request := Request{ID: "short" + strings.Repeat("'", n), Class: "view", Path: "p0/x", Timeout: 10 * time.Second}
		pending := async(func() Outcome { return l.Send(t.Context(), owner, request) })
		again := request
		again.ID, again.RetryOf = request.ID+"-again", request.ID
		var h Outcome
		for begin := time.Now(); !h.Settled && time.Since(begin) < testpeer.Limit; { // at first no replica may hold it
			again.ID += "'"
			h, _ = l.SendWithRetry(t.Context(), successor, again)
		}
		_, links := successor.LinkStats(t.Context())
		if err := owner.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		testpeer.Receive(t, pending, "the response at the suspended gateway")
		return h.Status == 200 && links["p0/"+owner.Name] == incarnation
	})
}

// Gateways of a group are restarted in turn, faster than the longest deadline. Each recovers the keys that its earlier incarnation
// may have voted for, so that new keys are accepted at once and earlier requests are answered without running again.
func TestRestartedGroupAcceptsKeys(t *testing.T) {
	l := startFederation(t, Options{Partners: 1, Custody: "refuse", Silence: time.Second, Deadline: 20 * testpeer.Limit})
	ask := func(at *Gateway, id, key string) Outcome {
		return l.Send(t.Context(), at, Request{ID: id, Class: "log", Path: "p0/x", Key: key, Timeout: testpeer.Limit})
	}
	var keys []string
	for round := range 2 * len(l.Gateways) {
		at := l.Gateways[round%len(l.Gateways)]
		for i := range 4 {
			key := fmt.Sprintf("key-%d-%d", round, i)
			keys = append(keys, key)
			testpeer.Until(t, "a new key to be taken", func() bool { // rejected while two of its replicas have just restarted
				h := ask(at, "first-"+key, key)
				if h.Status != 200 && h.Status != 503 {
					t.Fatalf("unexpected outcome: %+v", h)
				}
				return h.Status == 200
			})
		}
		at.Kill()
		if err := at.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		waitSettled(t, l)
		testpeer.Until(t, "the new incarnation to recover the votes of the old one", func() bool { return at.ReplicationStatus(t.Context()).Recovered > 0 })
	}
	for i, key := range keys {
		h := ask(l.Gateways[i%len(l.Gateways)], "again-"+key, key)
		ran, dropped := countRuns(l.Auditor.Runs(key))
		if ran != 1 || h.Status == 200 && !h.Settled {
			t.Errorf("%s: ran %d times and %d times as a duplicate; retried: %+v", key, ran, dropped, h)
		}
	}
}
