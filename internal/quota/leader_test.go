package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// distributeFor has a leader distribute tokens for a time: each partner's gateways want as many in each round as wants says. It
// returns what each partner got, and the most that were granted in any window.
func distributeFor(t budget.Terms, wants func(partner string, at time.Duration) int, length, window time.Duration, waives bool) (got map[string]int, most int) {
	l := newLeader(t, "p0/g0", []string{"p0/g0"}, 0)
	l.begin(0, 1)
	l.until = time.Hour
	got = map[string]int{}
	var times []time.Duration
	for now := time.Duration(0); now < length; now += leaderInterval {
		for _, p := range t.Partners {
			for i := range p.Gateways {
				who := peering.GatewayID{Partner: p.Name, Name: fmt.Sprint("g", i)}
				if waives {
					l.waive(who, p.Floor/float64(p.Gateways), now+budget.FloorLoan)
				}
				n := wants(p.Name, now) / p.Gateways
				if n == 0 && wants(p.Name, now) > i {
					n = 1
				}
				if n > 0 {
					l.addPending(who, &pendingRequest{wanted: n, reply: func(given int, _ time.Duration) {
						got[p.Name] += given
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
		most = max(most, i-from+1)
	}
	return got, most
}

func terms(rate, burst float64, partners ...budget.Partner) budget.Terms {
	return budget.Terms{Name: "notes", Rate: rate, Burst: burst, Lease: 300 * time.Millisecond, LeaderTerm: time.Second, Fallback: budget.Floor, Partners: partners}
}

// Tokens are shared by weight beyond floors. What one partner leaves the others get, and it has it back at once.
func TestTokensAreSharedByWeightBeyondFloors(t *testing.T) {
	all := func(string, time.Duration) int { return 50 }
	near := func(got, want float64) bool { return math.Abs(got-want) < 0.06*want+2 }
	const length = 20 * time.Second
	p := func(name string, floor, weight float64) budget.Partner {
		return budget.Partner{Name: name, Floor: floor, Weight: weight, Gateways: 5}
	}
	for _, c := range []struct {
		name  string
		terms budget.Terms
		wants func(string, time.Duration) int
		want  map[string]float64 // requests a second
	}{
		{"alike", terms(100, 200, p("a", 0, 1), p("b", 0, 1)), all, map[string]float64{"a": 50, "b": 50}},
		{"by weight", terms(100, 200, p("a", 0, 3), p("b", 0, 1)), all, map[string]float64{"a": 75, "b": 25}},
		{"a floor first", terms(100, 200, p("a", 60, 1), p("b", 0, 1)), all, map[string]float64{"a": 80, "b": 20}},
		{"one wants little", terms(100, 200, p("a", 0, 1), p("b", 0, 1), p("c", 0, 1)), func(n string, at time.Duration) int {
			if n == "a" {
				if at%(100*time.Millisecond) == 0 {
					return 1 // ten a second
				}
				return 0
			}
			return 50
		}, map[string]float64{"a": 10, "b": 45, "c": 45}},
		{"one asks for everything", terms(100, 200, p("a", 0, 1), p("b", 0, 1)), func(n string, _ time.Duration) int {
			if n == "a" {
				return 1_000_000
			}
			return 50
		}, map[string]float64{"a": 50, "b": 50}},
		{"few requests, many gateways", terms(5, 10, budget.Partner{Name: "a", Weight: 1, Gateways: 150}, budget.Partner{Name: "b", Weight: 1, Gateways: 150}),
			all, map[string]float64{"a": 2.5, "b": 2.5}},
	} {
		got, most := distributeFor(c.terms, c.wants, length, time.Second, true)
		for n, want := range c.want {
			if g := float64(got[n]) / length.Seconds(); !near(g, want) {
				t.Errorf("%s: %s got %.1f a second, want %.1f", c.name, n, g, want)
			}
		}
		if bound := c.terms.Depth() + c.terms.Rate*1.01; float64(most) > bound+1 {
			t.Errorf("%s: %d tokens in a second, the bucket holds %.0f and fills by %.0f", c.name, most, c.terms.Depth(), c.terms.Rate)
		}
	}
	// A floor that nobody has waived is dealt out to nobody.
	got, _ := distributeFor(terms(100, 200, p("a", 0, 1), p("b", 60, 1)), all, length, time.Second, false)
	if sum := float64(got["a"]+got["b"]) / length.Seconds(); !near(sum, 40) {
		t.Errorf("%.1f tokens a second were dealt out beside a floor of 60 that is its own", sum)
	}
}
