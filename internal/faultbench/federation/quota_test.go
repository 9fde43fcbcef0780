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

// crowd asks for notes at all gateways that run, over and over, until stop; it counts what it heard.
type crowd struct {
	served, refused atomic.Int64
	slowest         atomic.Int64 // ns that a served request took
	stop            func()
}

func newCrowd(t *testing.T, l *League, each int) *crowd {
	c := &crowd{}
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	for gi, g := range l.Gateways {
		for w := range each {
			all.Add(1)
			go func() {
				defer all.Done()
				for i := 0; ctx.Err() == nil; i++ {
					h := l.Ask(ctx, g, Call{ID: fmt.Sprintf("q%d-%d-%d", gi, w, i), Class: "note", Path: Name(g.Partner) + "/x"})
					switch {
					case h.Status == 200:
						c.served.Add(1)
						for was := c.slowest.Load(); int64(h.Took) > was && !c.slowest.CompareAndSwap(was, int64(h.Took)); was = c.slowest.Load() {
						}
					case h.Status == 503 && h.Retry > 0:
						c.refused.Add(1)
					case h.Status != 0 && ctx.Err() == nil:
						t.Errorf("%+v", h)
					}
					select {
					case <-ctx.Done():
					case <-time.After(10 * time.Millisecond):
					}
				}
			}()
		}
	}
	c.stop = sync.OnceFunc(func() { cancel(); all.Wait() })
	t.Cleanup(c.stop)
	return c
}

// more waits until as many more requests have been served.
func (c *crowd) more(t *testing.T, n int64) {
	t.Helper()
	was := c.served.Load()
	testpeer.Until(t, "more calls to be served", func() bool { return c.served.Load() >= was+n })
}

// held says that no window saw more requests than the terms bound. A request comes to its server as long after its draw as the slowest
// took at most, so that the windows of draws are that much longer.
func held(t *testing.T, l *League, c *crowd, terms budget.Terms) {
	t.Helper()
	for _, w := range []time.Duration{time.Second, 10 * time.Second} {
		most, at := l.Audit.Most("note", w)
		if bound := terms.Bound(w + time.Duration(c.slowest.Load())); float64(most) > bound {
			t.Errorf("%d calls began in %v from %v on, bound %.1f", most, w, at, bound)
		}
	}
}

// keeper is the gateway that keeps the quota.
func keeper(t *testing.T, l *League) (k *Gateway) {
	t.Helper()
	testpeer.Until(t, "a keeper", func() bool {
		for _, g := range l.Gateways {
			if g.Log() == "" {
				continue
			}
			if g.Notes(t.Context()).IsLeader {
				k = g
				return true
			}
		}
		return false
	})
	return k
}

func notes(rate, burst float64, cut budget.Fallback, floor float64) (budget.Terms, string) {
	t := budget.Terms{Name: "notes", Rate: rate, Burst: burst, Overdraw: 0.05, Lease: 300 * time.Millisecond, LeaderTerm: time.Second, Fallback: cut}
	text := fmt.Sprintf(" rate = %v\n burst = %v\n lease = \"300ms\"\n term = \"1s\"\n wait = \"50ms\"\n when_cut = %q\n classes = [\"note\"]\n", rate, burst, string(cut))
	for p := range 3 {
		t.Partners = append(t.Partners, budget.Partner{Name: Name(p), Floor: floor, Weight: 1, Gateways: 3})
		text += fmt.Sprintf(" partner %q {\n floor = %v\n gateways = 3\n }\n", Name(p), floor)
	}
	return t, text
}

// Nine gateways of three partners draw from one budget while its quota leader is killed, a quota leader is stopped and awakes, and a partner
// is cut off: no window sees more than the file's terms bound, and after each fault there is a quota leader again.
func TestQuotaBoundHoldsUnderFaults(t *testing.T) {
	terms, text := notes(60, 60, budget.Floor, 6)
	l := start(t, Options{Quota: text, Custody: "serve", Silence: time.Second})
	c := newCrowd(t, l, 3)
	first := keeper(t, l)
	c.more(t, 100)
	first.Kill()
	second := keeper(t, l)
	if second == first {
		t.Errorf("%s is the keeper though it was killed", first.Name)
	}
	c.more(t, 100)
	if err := first.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	mend := l.Cut(l.Of(second.Partner), l.But(l.Of(second.Partner)...), true)
	testpeer.Until(t, "another keeper on the other side", func() bool {
		for _, g := range l.But(l.Of(second.Partner)...) {
			if g.Notes(t.Context()).IsLeader {
				return true
			}
		}
		return false
	})
	testpeer.Until(t, "the part that is cut off to draw of its floor", func() bool {
		return second.Notes(t.Context()).OwnFloor > 0
	})
	mend()
	c.more(t, 100)
	// Lowered to a tenth, with tokens out.
	low, lowText := notes(6, 30, budget.Closed, 0)
	withQuota(t, l, lowText)
	lowered := l.now()
	c.more(t, 20)
	c.stop()
	held(t, l, c, terms)
	if c.refused.Load() == 0 {
		t.Error("nothing was refused: the budget was never met")
	}
	l.Audit.mu.Lock()
	defer l.Audit.mu.Unlock()
	n := 0
	for _, r := range l.Audit.all {
		if r.Class == "note" && r.At > lowered+time.Duration(c.slowest.Load())+terms.Lease {
			n++
		}
	}
	if bound := low.Bound(l.now() - lowered); float64(n) > bound {
		t.Errorf("%d calls began in %v after the budget was lowered, bound %.1f", n, l.now()-lowered, bound)
	}
}

// A request draws once in all, however many partners and gateways it comes through, and whoever takes it over.
func TestRequestDrawsQuotaOnce(t *testing.T) {
	_, text := notes(1000, 1000, budget.Closed, 0)
	l := start(t, Options{Quota: text, Custody: "refuse"})
	keeper(t, l)
	drawn := func(by []*Gateway) (n int64) {
		for _, g := range by {
			n += g.Notes(t.Context()).Drawn
		}
		return n
	}
	served := func(at *Gateway, c Call) {
		t.Helper()
		testpeer.Until(t, "the call to be served", func() bool { // at first a token may be late
			h := l.Ask(t.Context(), at, c)
			if h.Status != 200 && h.Status != 503 {
				t.Fatalf("%+v", h)
			}
			c.ID += "'"
			return h.Status == 200
		})
	}
	before := drawn(l.Gateways)
	const calls = 12
	for i := range calls {
		served(l.Gateway(i%3, i%2), Call{ID: fmt.Sprint("d", i), Class: "note", Path: Name((i+1)%3) + "/x"})
	}
	if n := drawn(l.Gateways) - before; n != calls {
		t.Errorf("%d calls drew %d times", calls, n)
	}
	// Taken over: the owner is killed before any attempt, and the successor draws nothing.
	owner := l.Gateway(0, 0)
	got, release := l.Audit.Hold("over")
	defer release()
	behind(func() Heard { return l.Ask(t.Context(), owner, Call{ID: "over", Class: "note", Path: "p0/x"}) })
	testpeer.Receive(t, got, "the call at its box")
	all := drawn(l.But(owner))
	owner.Kill()
	h, _ := l.Insist(t.Context(), l.Gateway(0, 1), Call{ID: "over-again", Of: "over", Class: "note", Path: "p0/x"})
	if !h.Settled || h.Status != 502 {
		t.Errorf("%+v", h)
	}
	if n := drawn(l.But(owner)); n != all {
		t.Errorf("the heirs drew %d times", n-all)
	}
}

// withQuota has all gateways go by another body of the quota's block; an empty one removes it.
func withQuota(t *testing.T, l *League, body string) {
	t.Helper()
	for _, g := range l.Gateways {
		err := g.Change(t.Context(), func(text string) string {
			i := strings.Index(text, "quota \"notes\" {")
			if text = text[:i]; body != "" {
				text += "quota \"notes\" {\n" + body + "\n" + l.Keepers(3) + "}"
			}
			return text
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// A quota leader that is stopped for longer than its term gives nothing out when it awakes, for another keeps the budget then: no
// window sees more than the terms bound. It comes to draw again as any other.
func TestSuspendedQuotaLeaderGrantsNothingOnResume(t *testing.T) {
	terms, text := notes(60, 60, budget.Closed, 0)
	l := start(t, Options{Quota: text, Custody: "serve", Silence: time.Second})
	c := newCrowd(t, l, 3)
	first := keeper(t, l)
	c.more(t, 60)
	if err := first.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	var second *Gateway
	testpeer.Until(t, "another keeper", func() bool {
		for _, g := range l.But(first) {
			if g.Notes(t.Context()).IsLeader {
				second = g
			}
		}
		return second != nil
	})
	c.more(t, 60)
	term := second.Notes(t.Context()).Term
	if err := first.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	testpeer.Until(t, "the one that was stopped to draw under a later keeper", func() bool {
		s := first.Notes(t.Context())
		return !s.IsLeader && s.Term >= term && s.Drawn > 0 || s.IsLeader && s.Term > term
	})
	c.more(t, 60)
	c.stop()
	held(t, l, c, terms)
}

// A quota that is raised gives more from then on, and one that is removed refuses nobody.
func TestQuotaIsRaisedAndRemoved(t *testing.T) {
	_, text := notes(2, 10, budget.Closed, 0)
	l := start(t, Options{Quota: text, Custody: "serve"})
	keeper(t, l)
	c := newCrowd(t, l, 2)
	testpeer.Until(t, "the budget to be met", func() bool { return c.refused.Load() > 50 })
	_, text = notes(400, 400, budget.Closed, 0)
	withQuota(t, l, text)
	// At two a second it would take minutes.
	c.more(t, 200)
	withQuota(t, l, "")
	for _, g := range l.Gateways {
		if q := g.Look(t.Context()).Quotas; len(q) > 0 {
			t.Errorf("%s still has a purse: %+v", g.Name, q)
		}
	}
	testpeer.Until(t, "those that were refused before to have heard so", func() bool {
		was, served := c.refused.Load(), c.served.Load()
		c.more(t, 100)
		return c.refused.Load() == was && c.served.Load() >= served+100
	})
}
