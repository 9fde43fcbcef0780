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

// MayImport says why an advertisement of a neighbour is not taken; empty: it is. held is how many others of its are.
func MayImport(o *Advertisement, self string, i Import, held int, now time.Time) string {
	below := func(list []string) bool {
		return slices.ContainsFunc(list, func(p string) bool { return strings.HasPrefix(o.Prefix, p) })
	}
	switch {
	case o.ID.Origin == self || slices.Contains(o.Path, self):
		return "it goes through here"
	case !o.Rules.permits(self, now):
		return "its rules do not name this partner, or have ended"
	case len(o.Path) > o.Rules.MaxHops:
		return "a call would come through too many hands"
	case !below(i.Accept):
		return "nothing below that path is accepted from there"
	case below(i.Deny):
		return "it is denied here"
	case held >= i.MaxRoutes:
		return "there are too many from there"
	}
	return ""
}
