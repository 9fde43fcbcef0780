package routeexchange

import (
	"cmp"
	"slices"
)

// Route is an advertisement together with this partner's preference for the neighbour that sent it.
type Route struct {
	Advertisement
	Preference int
	Own        bool // whether this partner serves it
}

// Compare returns a negative number if a is better than b as a route for the same prefix. It is a total order. With
// ignorePreference, preferences do not count, because they have no stable outcome for this destination.
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
