package budget

import (
	"fmt"
	"math"
	"time"
)

// Fallback says what a gateway does that reaches no quota leader. Its values are those of the setting when_cut.
type Fallback string

// The fallbacks.
const (
	Floor  Fallback = "floor"  // it goes on with its part of its partner's floor
	Closed Fallback = "closed" // it rejects
	Open   Fallback = "open"   // it admits all: there is no bound then
)

// Partner is a partner's part in a quota.
type Partner struct {
	Name     string
	Floor    float64 // requests a second that are its own
	Weight   float64 // of its claim on what is beyond floors
	Gateways int     // that draw for it
}

// Terms are those of a quota.
type Terms struct {
	Name       string
	Rate       float64 // requests a second
	Burst      float64 // requests that may come at once
	Overdraw   float64 // share of what is allowed in a window that may be drawn beyond it
	Lease      time.Duration
	LeaderTerm time.Duration // of a quota leader
	MaxWait    time.Duration // that a request may wait for a token
	Fallback   Fallback
	Partners   []Partner
}

// Depth is how many tokens the quota leader's bucket holds. Tokens that are out may be used together with what the bucket holds,
// and so may each gateway's one of its own floor: the burst has to be enough for all of it.
func (t Terms) Depth() float64 {
	return max(1, t.Burst-t.Rate*AtLeast(t.Lease).Seconds()-t.ownFloorDraws())
}

// ownFloorDraws is how many requests gateways may draw at once of floors, when they are cut off.
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

// sumOfFloors are all floors together.
func (t Terms) sumOfFloors() (sum float64) {
	for _, p := range t.Partners {
		sum += p.Floor
	}
	return sum
}

// Allowed is what the budget allows in a window.
func (t Terms) Allowed(window time.Duration) float64 { return t.Rate*window.Seconds() + t.Burst }

// Bound is how many requests draw in a window at most: what the bucket held and what came into it from Lease before the window
// on, for tokens of then may still be used in it, and a request of its own floor for each gateway that may be cut off.
func (t Terms) Bound(window time.Duration) float64 {
	if t.Fallback == Open {
		return math.Inf(1)
	}
	return t.Depth() + t.Rate*(window.Seconds()+AtLeast(t.Lease).Seconds()) + t.ownFloorDraws()
}

// checkedWindows are those that bounds are checked and promised for.
var checkedWindows = [...]time.Duration{time.Second, 10 * time.Second}

// Check says which setting of the terms is wrong, and why; both are empty if the terms can be held.
func (t Terms) Check() (field, why string) {
	switch {
	case !(t.Rate > 0 && t.Rate <= 1e6):
		return "rate", fmt.Sprintf("found %v; allowed: above 0, up to 1e6 calls a second", t.Rate)
	case !(t.Burst >= 1 && t.Burst <= 1e6):
		return "burst", fmt.Sprintf("found %v; allowed: 1 to 1e6 calls", t.Burst)
	case !(t.Overdraw >= 0 && t.Overdraw <= 1):
		return "over", fmt.Sprintf("found %v; allowed: 0 to 1, a share of what a window allows", t.Overdraw)
	case t.sumOfFloors() > t.Rate:
		return "rate", fmt.Sprintf("found %v, but the partners' floors add up to %v", t.Rate, t.sumOfFloors())
	}
	for _, w := range checkedWindows {
		if most, allowed := t.Bound(w), t.Allowed(w); t.Fallback != Open && most > allowed*(1+t.Overdraw)+1e-9 {
			if own := t.ownFloorDraws(); own > 0 && t.Depth() == 1 {
				return "when_cut", fmt.Sprintf(`found "floor": cut off, %v gateways could each draw a call of their own at once, so that %v calls could be drawn in %v where %v and %v %% more are allowed; allowed: when_cut = "closed", a greater burst, or floors for partners of fewer gateways`,
					own, roundToTenth(most), w, roundToTenth(allowed), 100*t.Overdraw)
			}
			return "lease", fmt.Sprintf("found %v: tokens that are out for so long make it %v calls in %v, where %v and %v %% more are allowed; allowed: a shorter lease, or a burst of %v or more",
				t.Lease, roundToTenth(most), w, roundToTenth(allowed), 100*t.Overdraw, math.Ceil(t.Burst+most-allowed*(1+t.Overdraw)))
		}
	}
	return "", ""
}

func roundToTenth(v float64) float64 { return math.Round(v*10) / 10 }

// Summary says what the terms promise, for a plan.
func (t Terms) Summary() string {
	if t.Fallback == Open {
		return fmt.Sprintf("quota %q: %v calls a second and %v at once while its keeper is reached; without it every call is taken, and there is no bound", t.Name, t.Rate, t.Burst)
	}
	s := fmt.Sprintf("quota %q: at most %v calls in any second (%v allowed) and %v in any 10 s (%v allowed), over all gateways, whatever fails",
		t.Name, roundToTenth(t.Bound(checkedWindows[0])), roundToTenth(t.Allowed(checkedWindows[0])), roundToTenth(t.Bound(checkedWindows[1])), roundToTenth(t.Allowed(checkedWindows[1])))
	if t.Fallback == Closed {
		return s + "; a gateway that reaches no keeper refuses"
	}
	return s + fmt.Sprintf("; a gateway that reaches no keeper goes on with its part of its partner's floor, after %v", AtLeast(FloorLoan))
}
