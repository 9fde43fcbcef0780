package routeexchange

import (
	"slices"
	"time"
)

// Transit is what this partner allows of the advertisements that it has from a neighbour, beyond their own rules.
type Transit struct {
	To         []string                // neighbours that it passes them on to; empty: nobody
	Cost       int                     // that it adds
	Replicated func(class string) bool // whether it keeps requests of a class replicated itself
}

// MayExport is an advertisement as it is told to a neighbour, or why it is not. own: it is this partner's; else p is what this
// partner allows of its neighbour's offers.
func MayExport(o Advertisement, self, to string, own bool, p Transit, now time.Time) (Advertisement, string) {
	switch {
	case to == self || slices.Contains(o.Path, to):
		return Advertisement{}, "it goes through there already"
	case !o.Rules.permits(to, now):
		return Advertisement{}, "its rules do not name that partner, or have ended"
	case own:
		o.Path = []string{self}
		return o, ""
	case o.Rules.NoTransit:
		return Advertisement{}, "it may not be passed on"
	case !slices.Contains(p.To, to):
		return Advertisement{}, "offers from there are not passed on to that partner"
	case len(o.Path)+1 > o.Rules.MaxHops:
		return Advertisement{}, "a call would come through too many hands"
	}
	o.Path = slices.Concat([]string{self}, o.Path)
	o.Cost += p.Cost
	o.Replicated = o.Replicated && p.Replicated(o.Class)
	return o, ""
}
