package budget

import (
	"fmt"
	"math"
	"time"
)

// Fallback is what a gateway does when it reaches no quota leader. Its values are those of the setting when_cut.
type Fallback string

// Fallbacks.
const (
	Floor  Fallback = "floor"  // it admits requests up to its part of its partner's floor
	Closed Fallback = "closed" // it rejects all requests
	Open   Fallback = "open"   // it admits all requests; their rate has no bound
)

// Partner is a partner's share of a quota.
type Partner struct {
	Name     string
	Floor    float64 // requests per second that are reserved for it
	Weight   float64 // relative share of the tokens beyond the floors
	Gateways int     // that draw tokens for it
}

// Terms are the limits of a quota.
type Terms struct {
	Name       string
	Rate       float64 // requests per second
	Burst      float64 // requests that may arrive at once
	Overdraw   float64 // share of a window's allowance that may be drawn in addition to it
	Lease      time.Duration
	LeaderTerm time.Duration // length of a quota leader's term
	MaxWait    time.Duration // how long a request may wait for a token
	Fallback   Fallback
	Partners   []Partner
}

// Depth returns the capacity of the quota leader's bucket, in tokens. Leased tokens may be used at the same time as the bucket's, and
// so may one request of each gateway's own floor: the burst has to cover all of them.
func (t Terms) Depth() float64 {
	return max(1, t.Burst-t.Rate*AtLeast(t.Lease).Seconds()-t.ownFloorDraws())
}

// ownFloorDraws returns how many requests the gateways may draw from floors at once when they are cut off from the quota leader.
func (t Terms) ownFloorDraws() (n float64) {
	if t.Fallback != Floor {
		return 0
	}
	for _, p := range t.Partners {
		if p.Floor > 0 {
			n += float64(p.Gateways)
		}
	}
	return n
}

// sumOfFloors returns the sum of all partners' floors.
func (t Terms) sumOfFloors() (sum float64) {
	for _, p := range t.Partners {
		sum += p.Floor
	}
	return sum
}

// Allowed returns how many requests the quota allows in a window.
func (t Terms) Allowed(window time.Duration) float64 { return t.Rate*window.Seconds() + t.Burst }

// Bound returns the maximum number of requests that draw in a window. It counts the tokens in the bucket, those added to it from one
// Lease before the window on, as a token that was leased then may still be used in the window, and one request of its own floor for
// each gateway that may be cut off.
func (t Terms) Bound(window time.Duration) float64 {
	if t.Fallback == Open {
		return math.Inf(1)
	}
	return t.Depth() + t.Rate*(window.Seconds()+AtLeast(t.Lease).Seconds()) + t.ownFloorDraws()
}

// checkedWindows are the windows for which Check verifies the bound and Summary states it.
var checkedWindows = [...]time.Duration{time.Second, 10 * time.Second}

// Check returns the setting that is invalid and why; both are empty if the terms are valid.
func (t Terms) Check() (field, why string) {
	switch {
	case !(t.Rate > 0 && t.Rate <= 1e6):
		return "rate", fmt.Sprintf("found %v; allowed: above 0, up to 1e6 requests per second", t.Rate)
	case !(t.Burst >= 1 && t.Burst <= 1e6):
		return "burst", fmt.Sprintf("found %v; allowed: 1 to 1e6 requests", t.Burst)
	case !(t.Overdraw >= 0 && t.Overdraw <= 1):
		return "over", fmt.Sprintf("found %v; allowed: 0 to 1, a share of a window's allowance", t.Overdraw)
	case t.sumOfFloors() > t.Rate:
		return "rate", fmt.Sprintf("found %v, but the partners' floors add up to %v", t.Rate, t.sumOfFloors())
	}
	for _, window := range checkedWindows {
		if maxRequests, allowed := t.Bound(window), t.Allowed(window); t.Fallback != Open && maxRequests > allowed*(1+t.Overdraw)+1e-9 {
			if ownFloors := t.ownFloorDraws(); ownFloors > 0 && t.Depth() == 1 {
				return "when_cut", fmt.Sprintf(`found "floor": when cut off from the quota leader, %v gateways could each draw a request of their own floor at once, up to %v requests in %v where %v and %v %% more are allowed; allowed: when_cut = "closed", a greater burst, or floors for partners with fewer gateways`,
					ownFloors, roundToTenth(maxRequests), window, roundToTenth(allowed), 100*t.Overdraw)
			}
			return "lease", fmt.Sprintf("found %v: tokens leased for so long permit %v requests in %v, where %v and %v %% more are allowed; allowed: a shorter lease, or a burst of %v or more",
				t.Lease, roundToTenth(maxRequests), window, roundToTenth(allowed), 100*t.Overdraw, math.Ceil(t.Burst+maxRequests-allowed*(1+t.Overdraw)))
		}
	}
	return "", ""
}

func roundToTenth(v float64) float64 { return math.Round(v*10) / 10 }

// Summary describes what the terms guarantee, for the output of a plan.
func (t Terms) Summary() string {
	if t.Fallback == Open {
		return fmt.Sprintf("quota %q: %v requests per second and %v at once while its leader is reachable; otherwise every request is admitted, without a bound", t.Name, t.Rate, t.Burst)
	}
	s := fmt.Sprintf("quota %q: at most %v requests in any second (%v allowed) and %v in any 10 s (%v allowed), over all gateways, whatever fails",
		t.Name, roundToTenth(t.Bound(checkedWindows[0])), roundToTenth(t.Allowed(checkedWindows[0])), roundToTenth(t.Bound(checkedWindows[1])), roundToTenth(t.Allowed(checkedWindows[1])))
	if t.Fallback == Closed {
		return s + "; a gateway that cannot reach the leader rejects requests"
	}
	return s + fmt.Sprintf("; a gateway that cannot reach the leader admits requests up to its part of its partner's floor, after %v", AtLeast(FloorLoan))
}
