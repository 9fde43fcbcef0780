package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// distributeFor runs a leader's distribution for the given length. In each round a partner's gateways together want
// demand(partner, time) tokens. It returns the tokens granted to each partner and the most granted in any window.
func distributeFor(t budget.Terms, demand func(partner string, at time.Duration) int, length, window time.Duration, waives bool) (granted map[string]int, peak int) {
	l := newLeader(t, "p0/g0", []string{"p0/g0"}, 0)
	l.startTerm(0, 1)
	l.termEnd = time.Hour
	granted = map[string]int{}
	var times []time.Duration
	for now := time.Duration(0); now < length; now += leaderInterval {
		for _, p := range t.Partners {
			for i := range p.Gateways {
				gateway := peering.GatewayID{Partner: p.Name, Name: fmt.Sprint("g", i)}
				if waives {
					l.waive(gateway, p.Floor/float64(p.Gateways), now+budget.FloorLoan)
				}
				n := demand(p.Name, now) / p.Gateways
				if n == 0 && demand(p.Name, now) > i {
					n = 1
				}
				if n > 0 {
					l.addPending(gateway, &pendingRequest{wanted: n, reply: func(given int, _ time.Duration) {
						granted[p.Name] += given
						for range given {
							times = append(times, now)
						}
					}})
				}
			}
		}
		l.distribute(now, true)
	}
	from := 0
	for i, at := range times {
		for at-times[from] > window {
			from++
		}
		peak = max(peak, i-from+1)
	}
	return granted, peak
}

func terms(rate, burst float64, partners ...budget.Partner) budget.Terms {
	return budget.Terms{Name: "notes", Rate: rate, Burst: burst, Lease: 300 * time.Millisecond, LeaderTerm: time.Second, Fallback: budget.Floor, Partners: partners}
}

// Tokens beyond floors are shared by weight. The share that one partner does not use goes to the others and returns to it on
// demand.
func TestTokensAreSharedByWeightBeyondFloors(t *testing.T) {
	all := func(string, time.Duration) int { return 50 }
	near := func(granted, want float64) bool { return math.Abs(granted-want) < 0.06*want+2 }
	const length = 20 * time.Second
	p := func(name string, floor, weight float64) budget.Partner {
		return budget.Partner{Name: name, Floor: floor, Weight: weight, Gateways: 5}
	}
	for _, c := range []struct {
		name  string
		terms budget.Terms
		wants func(string, time.Duration) int
		want  map[string]float64 // requests per second
	}{
		{"equal weights", terms(100, 200, p("a", 0, 1), p("b", 0, 1)), all, map[string]float64{"a": 50, "b": 50}},
		{"unequal weights", terms(100, 200, p("a", 0, 3), p("b", 0, 1)), all, map[string]float64{"a": 75, "b": 25}},
		{"floor served first", terms(100, 200, p("a", 60, 1), p("b", 0, 1)), all, map[string]float64{"a": 80, "b": 20}},
		{"one partner with low demand", terms(100, 200, p("a", 0, 1), p("b", 0, 1), p("c", 0, 1)), func(n string, at time.Duration) int {
			if n == "a" {
				if at%(100*time.Millisecond) == 0 {
					return 1 // 10 per second
				}
				return 0
			}
			return 50
		}, map[string]float64{"a": 10, "b": 45, "c": 45}},
		{"one partner with huge demand", terms(100, 200, p("a", 0, 1), p("b", 0, 1)), func(n string, _ time.Duration) int {
			if n == "a" {
				return 1_000_000
			}
			return 50
		}, map[string]float64{"a": 50, "b": 50}},
		{"low rate, many gateways", terms(5, 10, budget.Partner{Name: "a", Weight: 1, Gateways: 150}, budget.Partner{Name: "b", Weight: 1, Gateways: 150}),
			all, map[string]float64{"a": 2.5, "b": 2.5}},
	} {
		granted, peak := distributeFor(c.terms, c.wants, length, time.Second, true)
		for n, want := range c.want {
			if rate := float64(granted[n]) / length.Seconds(); !near(rate, want) {
				t.Errorf("%s: %s got %.1f tokens per second, want %.1f", c.name, n, rate, want)
			}
		}
		if bound := c.terms.Depth() + c.terms.Rate*1.01; float64(peak) > bound+1 {
			t.Errorf("%s: %d tokens granted within a second, more than the bucket's depth of %.0f and its fill rate of %.0f allow", c.name, peak, c.terms.Depth(), c.terms.Rate)
		}
	}
	// A floor that has not been waived is not lent to other partners.
	granted, _ := distributeFor(terms(100, 200, p("a", 0, 1), p("b", 60, 1)), all, length, time.Second, false)
	if sum := float64(granted["a"]+granted["b"]) / length.Seconds(); !near(sum, 40) {
		t.Errorf("%.1f tokens per second were granted, want 40: the floor of 60 is not waived", sum)
	}
}
