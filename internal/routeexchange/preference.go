package routeexchange

import (
	"cmp"
	"slices"
)

// Route is an advertisement as a neighbour tells it, with what this partner thinks of that neighbour.
type Route struct {
	Advertisement
	Preference int
	Own        bool // this partner serves it
}

// Compare orders two routes of serving requests below one prefix: negative if a is the better one. It is a total order. held:
// preferences do not count, for they have no stable outcome.
func Compare(a, b *Route, ignorePreference bool) int {
	if a.Own != b.Own {
		if a.Own {
			return -1
		}
		return 1
	}
	if !ignorePreference && a.Preference != b.Preference {
		return cmp.Compare(b.Preference, a.Preference)
	}
	return cmp.Or(cmp.Compare(len(a.Path), len(b.Path)), cmp.Compare(a.Cost, b.Cost), slices.Compare(a.Path, b.Path),
		cmp.Compare(a.ID.Origin, b.ID.Origin), cmp.Compare(a.ID.Name, b.ID.Name))
}
