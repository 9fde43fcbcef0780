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

// CheckExport is an advertisement as it is told to a neighbour, or why it is not. own: it is this partner's; else p is what this
// partner allows of its neighbour's offers.
func CheckExport(adv Advertisement, self, to string, own bool, transit Transit, now time.Time) (Advertisement, string) {
	switch {
	case to == self || slices.Contains(adv.Path, to):
		return Advertisement{}, "it goes through there already"
	case !adv.Rules.permits(to, now):
		return Advertisement{}, "its rules do not name that partner, or have ended"
	case own:
		adv.Path = []string{self}
		return adv, ""
	case adv.Rules.NoTransit:
		return Advertisement{}, "it may not be passed on"
	case !slices.Contains(transit.To, to):
		return Advertisement{}, "offers from there are not passed on to that partner"
	case len(adv.Path)+1 > adv.Rules.MaxHops:
		return Advertisement{}, "a call would come through too many hands"
	}
	adv.Path = slices.Concat([]string{self}, adv.Path)
	adv.Cost += transit.Cost
	adv.Replicated = adv.Replicated && transit.Replicated(adv.Class)
	return adv, ""
}
