package routeexchange

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
)

// Counts are of a table since its start.
type Counts struct {
	Changes    int `json:"changes"` // of best routes
	Damped     int `json:"held"`    // offers whose preferences had no stable outcome
	Suppressed int `json:"dropped"` // routes that a refusal of their owner's ended
}

// RouteStatus is one route, for people.
type RouteStatus struct {
	ID     string   `json:"offer"`
	Class  string   `json:"class"`
	Prefix string   `json:"prefix"`
	Path   []string `json:"path,omitempty"` // empty: this partner's own
	Best   bool     `json:"best"`
	Stale  bool     `json:"stale,omitempty"`
	Damped bool     `json:"held,omitempty"`
}

// Status is what a table holds.
type Status struct {
	Counts
	Advertisements int                       `json:"offers"`
	Digest         uint64                    `json:"digest"` // of what is chosen: the same at all gateways that act alike
	Rejected       map[string]map[string]int `json:"refused,omitempty"`
	Stale          []string                  `json:"stale,omitempty"`
	Routes         []RouteStatus             `json:"lines,omitempty"`
}

// maxStatusRoutes of a Status.
const maxStatusRoutes = 200

// Status is what the table holds now.
func (t *Table) Status() Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := Status{Counts: t.counts, Advertisements: len(t.locRIB), Rejected: map[string]map[string]int{}, Stale: slices.Sorted(maps.Keys(t.staleSince))}
	for neighbour, reasons := range t.rejected {
		s.Rejected[neighbour] = maps.Clone(reasons)
	}
	ids := slices.SortedFunc(maps.Keys(t.locRIB), func(a, b ID) int { return strings.Compare(a.String(), b.String()) })
	h := fnv.New64a()
	for _, id := range ids {
		d := t.locRIB[id]
		if d.best != nil {
			h.Write([]byte(id.String()))
			h.Write([]byte{0})
			h.Write([]byte(strings.Join(d.best.Path, "/")))
			h.Write([]byte{0})
		}
		for _, neighbour := range slices.Sorted(maps.Keys(d.candidates)) {
			route := d.candidates[neighbour]
			if len(s.Routes) < maxStatusRoutes {
				s.Routes = append(s.Routes, RouteStatus{id.String(), route.Class, route.Prefix, route.Path, route == d.best, !t.staleSince[neighbour].IsZero(), !d.dampedUntil.IsZero()})
			}
		}
	}
	s.Digest = h.Sum64()
	return s
}
