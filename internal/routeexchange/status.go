package routeexchange

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
)

// Counts are a table's counters since its creation.
type Counts struct {
	Changes    int `json:"changes"` // changes of best routes
	Damped     int `json:"held"`    // times that a destination was damped, as its preferences had no stable outcome
	Suppressed int `json:"dropped"` // routes suppressed after a rejection by their owner
}

// RouteStatus describes one route for display.
type RouteStatus struct {
	ID     string   `json:"offer"`
	Class  string   `json:"class"`
	Prefix string   `json:"prefix"`
	Path   []string `json:"path,omitempty"` // empty for this partner's own exports
	Best   bool     `json:"best"`
	Stale  bool     `json:"stale,omitempty"`
	Damped bool     `json:"held,omitempty"`
}

// Status is a snapshot of a table.
type Status struct {
	Counts
	Advertisements int                       `json:"offers"`
	Digest         uint64                    `json:"digest"` // of the selected routes: equal at gateways with the same selection
	Rejected       map[string]map[string]int `json:"refused,omitempty"`
	Stale          []string                  `json:"stale,omitempty"`
	Routes         []RouteStatus             `json:"lines,omitempty"`
}

// maxStatusRoutes limits the routes in a Status.
const maxStatusRoutes = 200

// Status returns a snapshot of the table.
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
