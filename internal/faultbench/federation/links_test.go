package federation

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// Links are reset repeatedly in the middle of frames, under requests whose bodies span many frames. Partial frames are discarded,
// links are reestablished, and each request gets one response.
func TestLinksResetMidFrame(t *testing.T) {
	l := startFederation(t, Options{Partners: 2, Custody: "refuse"})
	stop := make(chan struct{})
	var clients, breaker sync.WaitGroup
	for w := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			repeat(stop, func(i int) {
				c := Request{ID: fmt.Sprintf("r%d-%d", w, i), Class: []string{"note", "log"}[i%2], Path: fmt.Sprintf("p%d/x", i%2), Size: 60_000}
				if c.Class == "log" {
					c.Key = "key-" + c.ID
				}
				if h, _ := l.SendWithRetry(t.Context(), l.Gateway(w%2, w%3), c); h.Status != 200 && h.Status != 502 {
					t.Errorf("unexpected outcome: %+v", h)
				}
			})
		}()
	}
	breaker.Add(1)
	go func() {
		defer breaker.Done()
		repeat(stop, func(i int) {
			l.Gateways[i%len(l.Gateways)].links.ResetAll()
			time.Sleep(5 * time.Millisecond) // interval between resets
		})
	}()
	testpeer.Until(t, "many links to break", func() bool {
		s, _ := l.Gateway(0, 0).LinkStats(t.Context())
		return s.Ended["broken"] > 30
	})
	close(stop)
	breaker.Wait()
	clients.Wait()
	waitSettled(t, l)
	for i, g := range l.Gateways {
		if s, _ := g.LinkStats(t.Context()); s.Ended["malformed"] > 0 {
			t.Errorf("%s: %+v", g.Name, s)
		}
		if h := l.Send(t.Context(), g, Request{ID: fmt.Sprint("after", i), Class: "note", Path: PartnerName(g.Partner) + "/x"}); h.Status != 200 || !h.Settled {
			t.Errorf("unexpected outcome: %+v", h)
		}
	}
}

// A partitioned gateway is killed, so that its peers do not see the links close, and restarts as a new incarnation. The half-open
// links are closed for silence, links to the new incarnation replace them, and it replicates requests again.
func TestHalfOpenLinkIsReplaced(t *testing.T) {
	l := startFederation(t, Options{Partners: 1, Custody: "refuse", Silence: time.Second})
	restarted := l.Gateway(0, 1)
	_, before := l.Gateway(0, 0).LinkStats(t.Context())
	peer := "p0/" + restarted.Name
	heal := l.Cut([]*Gateway{restarted}, l.GatewaysExcept(restarted), true)
	restarted.Kill()
	testpeer.Until(t, "the half-open links to end", func() bool {
		for _, g := range l.GatewaysExcept(restarted) {
			if s, to := g.LinkStats(t.Context()); to[peer] != 0 || s.Ended["silent"] == 0 {
				return false
			}
		}
		return true
	})
	// Two of three replicas are a majority, so requests are still settled.
	if h := l.Send(t.Context(), l.Gateway(0, 0), Request{ID: "with two", Class: "note", Path: "p0/x"}); h.Status != 200 || !h.Settled {
		t.Errorf("unexpected outcome: %+v", h)
	}
	if err := restarted.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	heal()
	waitSettled(t, l)
	if _, after := l.Gateway(0, 0).LinkStats(t.Context()); after[peer] == 0 || after[peer] == before[peer] {
		t.Errorf("incarnation of the peer was %d and is %d, want a new one", before[peer], after[peer])
	}
	held := restarted.ReplicationStatus(t.Context()).Replica.Entries
	if h := l.Send(t.Context(), l.Gateway(0, 0), Request{ID: "with three", Class: "note", Path: "p0/x"}); h.Status != 200 || !h.Settled {
		t.Errorf("unexpected outcome: %+v", h)
	}
	testpeer.Until(t, "the new incarnation to hold the request", func() bool { return restarted.ReplicationStatus(t.Context()).Replica.Entries > held })
}

// p2 reaches p0 only through p1, which forwards p0's advertisements. A request is forwarded by p1, which replicates it and draws
// quota as for any other. Once p0 disallows transit, no more requests from p2 run there, even if others still have the old
// advertisement, and the withdrawal reaches p2.
func TestRequestForwardedThroughPartner(t *testing.T) {
	transit := func(g *Gateway, text string) string {
		text = strings.ReplaceAll(text, " all = true\n", " all = true\n transit = true\n hands = 2\n")
		switch g.Partner {
		case 1:
			return strings.Replace(text, "partner \"p0\" {", "partner \"p0\" {\n pass_on_to = [\"p2\"]", 1)
		case 2: // it has no partnership with p0 and accepts p0's paths from p1
			i := strings.Index(text, "partner \"p0\" {")
			j := i + strings.Index(text[i:], "}\n") + 2
			text = text[:i] + text[j:]
			return strings.Replace(text, "accept = [\"/view/p1/\"", "accept = [\"/note/p0/\", \"/view/p1/\"", 1)
		}
		return text
	}
	path, err := program.Path()
	if err != nil {
		t.Fatal(err)
	}
	l, err := Start(t.Context(), Options{Binary: path, Partners: 3, Gateways: 3, Servers: 2, Custody: "refuse", Silence: testpeer.Limit, Deadline: 30 * time.Second, Edit: transit})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, b := range l.Auditor.Breaches() {
			t.Errorf("breach: %s", b)
		}
		l.Close()
	})
	hasTransitRoute := func(g *Gateway) (is bool) {
		for _, o := range g.RouteStatus(t.Context()).Routes {
			is = is || o.ID == "p0/note" && o.Best && strings.Join(o.Path, " ") == "p1 p0"
		}
		return is
	}
	allHaveRoute := func(want bool) func() bool {
		return func() bool {
			for _, g := range l.PartnerGateways(2) {
				if hasTransitRoute(g) != want {
					return false
				}
			}
			return true
		}
	}
	testpeer.Until(t, "p2 to have p0's offer through p1", allHaveRoute(true))
	for i := range 3 {
		h, _ := l.SendWithRetry(t.Context(), l.Gateway(2, i), Request{ID: fmt.Sprint("p2-through", i), Class: "note", Path: "p0/x"})
		if h.Status != 200 || !h.Settled || !strings.HasPrefix(h.Body, "p0-b") {
			t.Errorf("unexpected outcome: %+v", h)
		}
	}
	for _, g := range l.PartnerGateways(0) {
		err := g.Reconfigure(t.Context(), func(text string) string {
			return strings.ReplaceAll(text, " all = true\n transit = true\n hands = 2\n", " all = true\n")
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	l.Auditor.Forbid(l.elapsed(), 0, "p0 allows no transit", func(r Run) bool { return strings.HasPrefix(r.ID, "p2-") })
	for i := range 6 { // some are sent before p2 receives the withdrawal
		h := l.Send(t.Context(), l.Gateway(2, i%3), Request{ID: fmt.Sprint("p2-after", i), Class: "note", Path: "p0/x", Timeout: 2 * time.Second})
		if h.Status == 200 {
			t.Errorf("unexpected outcome: %+v", h)
		}
	}
	testpeer.Until(t, "the withdrawal to reach p2", allHaveRoute(false))
	// Its group may not have links yet; the request is then rejected with a Retry-After.
	if h, _ := l.SendWithRetry(t.Context(), l.Gateway(1, 0), Request{ID: "p1-after", Class: "note", Path: "p0/x"}); h.Status != 200 {
		t.Errorf("request from p1: %+v", h)
	}
}
