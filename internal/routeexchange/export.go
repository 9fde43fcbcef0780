package routeexchange

import (
	"slices"
	"time"
)

// Transit restricts how this partner re-advertises a neighbour's routes, in addition to their own rules.
type Transit struct {
	To         []string                // neighbours to advertise them to; empty for none
	Cost       int                     // added to their cost
	Replicated func(class string) bool // whether this partner replicates requests of a class
}

// CheckExport returns an advertisement as it is advertised to the neighbour to, or why it is not. own is set for this partner's
// own exports; transit applies to all others.
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
