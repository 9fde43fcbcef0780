package federation

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/testpeer"
)

// loadGenerator repeatedly sends notes to all gateways until stop is called, and counts the outcomes.
type loadGenerator struct {
	served, refused atomic.Int64
	slowest         atomic.Int64 // latency of a served request, in ns
	stop            func()
}

func startLoad(t *testing.T, l *Federation, each int) *loadGenerator {
	load := &loadGenerator{}
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	for gi, g := range l.Gateways {
		for w := range each {
			all.Add(1)
			go func() {
				defer all.Done()
				for i := 0; ctx.Err() == nil; i++ {
					h := l.Send(ctx, g, Request{ID: fmt.Sprintf("q%d-%d-%d", gi, w, i), Class: "note", Path: PartnerName(g.Partner) + "/x"})
					switch {
					case h.Status == 200:
						load.served.Add(1)
						for was := load.slowest.Load(); int64(h.Latency) > was && !load.slowest.CompareAndSwap(was, int64(h.Latency)); was = load.slowest.Load() {
						}
					case h.Status == 503 && h.RetryAfter > 0:
						load.refused.Add(1)
					case h.Status != 0 && ctx.Err() == nil:
						t.Errorf("unexpected outcome: %+v", h)
					}
					select {
					case <-ctx.Done():
					case <-time.After(10 * time.Millisecond):
					}
				}
			}()
		}
	}
	load.stop = sync.OnceFunc(func() { cancel(); all.Wait() })
	t.Cleanup(load.stop)
	return load
}

// waitServed waits until n more requests have been served.
func (c *loadGenerator) waitServed(t *testing.T, n int64) {
	t.Helper()
	was := c.served.Load()
	testpeer.Until(t, "more requests to be served", func() bool { return c.served.Load() >= was+n })
}

// checkQuotaBound checks that no window has more requests than the terms allow. A request reaches its server after its draw by at most
// the latency of the slowest request, so the window of draws is longer by that.
func checkQuotaBound(t *testing.T, l *Federation, load *loadGenerator, terms budget.Terms) {
	t.Helper()
	for _, window := range []time.Duration{time.Second, 10 * time.Second} {
		most, at := l.Auditor.MaxInWindow("note", window)
		if bound := terms.Bound(window + time.Duration(load.slowest.Load())); float64(most) > bound {
			t.Errorf("%d requests started in %v from %v on, bound %.1f", most, window, at, bound)
		}
	}
}

// waitQuotaLeader waits until a gateway is the quota leader and returns it.
func waitQuotaLeader(t *testing.T, l *Federation) (leader *Gateway) {
	t.Helper()
	testpeer.Until(t, "a quota leader", func() bool {
		for _, g := range l.Gateways {
			if g.Log() == "" {
				continue
			}
			if g.QuotaStatus(t.Context()).IsLeader {
				leader = g
				return true
			}
		}
		return false
	})
	return leader
}

func quotaConfig(rate, burst float64, cut budget.Fallback, floor float64) (budget.Terms, string) {
	t := budget.Terms{Name: "notes", Rate: rate, Burst: burst, Overdraw: 0.05, Lease: 300 * time.Millisecond, LeaderTerm: time.Second, Fallback: cut}
	text := fmt.Sprintf(" rate = %v\n burst = %v\n lease = \"300ms\"\n term = \"1s\"\n wait = \"50ms\"\n when_cut = %q\n classes = [\"note\"]\n", rate, burst, string(cut))
	for p := range 3 {
		t.Partners = append(t.Partners, budget.Partner{Name: PartnerName(p), Floor: floor, Weight: 1, Gateways: 3})
		text += fmt.Sprintf(" partner %q {\n floor = %v\n gateways = 3\n }\n", PartnerName(p), floor)
	}
	return t, text
}

// Nine gateways of three partners draw from one quota while its leader is killed, the next leader's partner is partitioned, and the
// rate is lowered. No window exceeds the configured bound, and a new quota leader is elected after each fault.
func TestQuotaBoundHoldsUnderFaults(t *testing.T) {
	terms, text := quotaConfig(60, 60, budget.Floor, 6)
	l := startFederation(t, Options{Quota: text, Custody: "serve", Silence: time.Second})
	load := startLoad(t, l, 3)
	first := waitQuotaLeader(t, l)
	load.waitServed(t, 100)
	first.Kill()
	second := waitQuotaLeader(t, l)
	if second == first {
		t.Errorf("%s is the quota leader though it was killed", first.Name)
	}
	load.waitServed(t, 100)
	if err := first.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	heal := l.Cut(l.PartnerGateways(second.Partner), l.GatewaysExcept(l.PartnerGateways(second.Partner)...), true)
	testpeer.Until(t, "another quota leader on the other side", func() bool {
		for _, g := range l.GatewaysExcept(l.PartnerGateways(second.Partner)...) {
			if g.QuotaStatus(t.Context()).IsLeader {
				return true
			}
		}
		return false
	})
	testpeer.Until(t, "the partitioned side to draw from its floor", func() bool {
		return second.QuotaStatus(t.Context()).OwnFloor > 0
	})
	heal()
	load.waitServed(t, 100)
	// Lower the rate to a tenth while tokens are leased.
	low, lowText := quotaConfig(6, 30, budget.Closed, 0)
	setQuota(t, l, lowText)
	lowered := l.elapsed()
	load.waitServed(t, 20)
	load.stop()
	checkQuotaBound(t, l, load, terms)
	if load.refused.Load() == 0 {
		t.Error("no request was rejected: the quota was never reached")
	}
	l.Auditor.mu.Lock()
	defer l.Auditor.mu.Unlock()
	n := 0
	for _, r := range l.Auditor.allRuns {
		if r.Class == "note" && r.At > lowered+time.Duration(load.slowest.Load())+terms.Lease {
			n++
		}
	}
	if bound := low.Bound(l.elapsed() - lowered); float64(n) > bound {
		t.Errorf("%d requests started in %v after the budget was lowered, bound %.1f", n, l.elapsed()-lowered, bound)
	}
}

// A request draws quota once, regardless of how many partners and gateways forward it and which gateway takes it over.
func TestRequestDrawsQuotaOnce(t *testing.T) {
	_, text := quotaConfig(1000, 1000, budget.Closed, 0)
	l := startFederation(t, Options{Quota: text, Custody: "refuse"})
	waitQuotaLeader(t, l)
	drawn := func(by []*Gateway) (n int64) {
		for _, g := range by {
			n += g.QuotaStatus(t.Context()).Drawn
		}
		return n
	}
	served := func(at *Gateway, c Request) {
		t.Helper()
		testpeer.Until(t, "the request to be served", func() bool { // the first tokens may arrive late
			h := l.Send(t.Context(), at, c)
			if h.Status != 200 && h.Status != 503 {
				t.Fatalf("unexpected outcome: %+v", h)
			}
			c.ID += "'"
			return h.Status == 200
		})
	}
	before := drawn(l.Gateways)
	const calls = 12
	for i := range calls {
		served(l.Gateway(i%3, i%2), Request{ID: fmt.Sprint("d", i), Class: "note", Path: PartnerName((i+1)%3) + "/x"})
	}
	if n := drawn(l.Gateways) - before; n != calls {
		t.Errorf("%d requests drew %d times", calls, n)
	}
	// The owner is killed during the attempt; its successors must not draw again.
	owner := l.Gateway(0, 0)
	got, release := l.Auditor.Hold("over")
	defer release()
	async(func() Outcome { return l.Send(t.Context(), owner, Request{ID: "over", Class: "note", Path: "p0/x"}) })
	testpeer.Receive(t, got, "the request at its server")
	all := drawn(l.GatewaysExcept(owner))
	owner.Kill()
	h, _ := l.SendWithRetry(t.Context(), l.Gateway(0, 1), Request{ID: "over-again", RetryOf: "over", Class: "note", Path: "p0/x"})
	if !h.Settled || h.Status != 502 {
		t.Errorf("unexpected outcome: %+v", h)
	}
	if n := drawn(l.GatewaysExcept(owner)); n != all {
		t.Errorf("the successors drew %d times, want 0", n-all)
	}
}

// setQuota replaces the body of the quota block at all gateways; an empty body removes the quota.
func setQuota(t *testing.T, l *Federation, body string) {
	t.Helper()
	for _, g := range l.Gateways {
		err := g.Reconfigure(t.Context(), func(text string) string {
			i := strings.Index(text, "quota \"notes\" {")
			if text = text[:i]; body != "" {
				text += "quota \"notes\" {\n" + body + "\n" + l.QuotaCandidates(3) + "}"
			}
			return text
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// A quota leader that is suspended for longer than its term grants nothing when it resumes, since another has been elected. No
// window exceeds the bound, and the gateway draws from the new leader like any other.
func TestSuspendedQuotaLeaderGrantsNothingOnResume(t *testing.T) {
	terms, text := quotaConfig(60, 60, budget.Closed, 0)
	l := startFederation(t, Options{Quota: text, Custody: "serve", Silence: time.Second})
	load := startLoad(t, l, 3)
	first := waitQuotaLeader(t, l)
	load.waitServed(t, 60)
	if err := first.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	var second *Gateway
	testpeer.Until(t, "another quota leader", func() bool {
		for _, g := range l.GatewaysExcept(first) {
			if g.QuotaStatus(t.Context()).IsLeader {
				second = g
			}
		}
		return second != nil
	})
	load.waitServed(t, 60)
	term := second.QuotaStatus(t.Context()).Term
	if err := first.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	testpeer.Until(t, "the suspended gateway to draw under a later quota leader", func() bool {
		s := first.QuotaStatus(t.Context())
		return !s.IsLeader && s.Term >= term && s.Drawn > 0 || s.IsLeader && s.Term > term
	})
	load.waitServed(t, 60)
	load.stop()
	checkQuotaBound(t, l, load, terms)
}

// A raised quota admits more requests from then on, and a removed quota rejects none.
func TestQuotaIsRaisedAndRemoved(t *testing.T) {
	_, text := quotaConfig(2, 10, budget.Closed, 0)
	l := startFederation(t, Options{Quota: text, Custody: "serve"})
	waitQuotaLeader(t, l)
	load := startLoad(t, l, 2)
	testpeer.Until(t, "the quota to be reached", func() bool { return load.refused.Load() > 50 })
	_, text = quotaConfig(400, 400, budget.Closed, 0)
	setQuota(t, l, text)
	// At the old rate of 2 per second this would take minutes.
	load.waitServed(t, 200)
	setQuota(t, l, "")
	for _, g := range l.Gateways {
		if q := g.Status(t.Context()).Quotas; len(q) > 0 {
			t.Errorf("%s still has a quota limiter: %+v", g.Name, q)
		}
	}
	testpeer.Until(t, "requests rejected earlier to have been answered", func() bool {
		was, served := load.refused.Load(), load.served.Load()
		load.waitServed(t, 100)
		return load.refused.Load() == was && load.served.Load() >= served+100
	})
}
