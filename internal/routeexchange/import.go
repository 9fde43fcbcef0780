package routeexchange

import (
	"slices"
	"strings"
	"time"
)

// Import is what this partner takes of a neighbour's offers.
type Import struct {
	Accept     []string // prefixes below which offers must lie; empty: none is taken
	Deny       []string // and below which they must not
	Preference int      // higher is better
	MaxRoutes  int      // offers
}

// CheckImport says why an advertisement of a neighbour is not taken; empty: it is. held is how many others of its are.
func CheckImport(adv *Advertisement, self string, rules Import, held int, now time.Time) string {
	below := func(list []string) bool {
		return slices.ContainsFunc(list, func(p string) bool { return strings.HasPrefix(adv.Prefix, p) })
	}
	switch {
	case adv.ID.Origin == self || slices.Contains(adv.Path, self):
		return "it goes through here"
	case !adv.Rules.permits(self, now):
		return "its rules do not name this partner, or have ended"
	case len(adv.Path) > adv.Rules.MaxHops:
		return "a call would come through too many hands"
	case !below(rules.Accept):
		return "nothing below that path is accepted from there"
	case below(rules.Deny):
		return "it is denied here"
	case held >= rules.MaxRoutes:
		return "there are too many from there"
	}
	return ""
}
