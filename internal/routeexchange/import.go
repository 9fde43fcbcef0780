package routeexchange

import (
	"slices"
	"strings"
	"time"
)

// Import is the import policy for a neighbour's advertisements.
type Import struct {
	Accept     []string // prefixes of accepted routes; empty accepts none
	Deny       []string // prefixes of denied routes; these override Accept
	Preference int      // higher is better
	MaxRoutes  int      // limit of imported routes per source
}

// CheckImport returns why an advertisement of a neighbour is rejected, or "" if it is accepted. held is the number of other
// advertisements already imported from the same source.
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
