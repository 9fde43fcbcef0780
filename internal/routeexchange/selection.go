package routeexchange

import "strings"

// Selection is the route selected for a request.
type Selection struct {
	*Route
	destination *destination
}

// Acquire counts the request against the capacity of its destination, until Release.
func (c Selection) Acquire() { c.destination.openRequests.Add(1) }

// Release undoes an Acquire.
func (c Selection) Release() { c.destination.openRequests.Add(-1) }

// Choose selects the route of a request: the best of those with the longest matching prefix that allow the request and have
// capacity. If there is none it returns false, and the request is subject to the local routes.
func (t *Table) Choose(req *Request) (Selection, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	byPrefix := t.byClass[req.Class]
	if byPrefix == nil {
		return Selection{}, false
	}
	now := t.now()
	for end := len(req.Path); end > 0; end = strings.LastIndexByte(req.Path[:end-1], '/') + 1 {
		if req.Path[end-1] != '/' {
			if end = strings.LastIndexByte(req.Path[:end], '/') + 1; end == 0 {
				break
			}
		}
		for _, d := range byPrefix[req.Path[:end]] {
			capacity := d.best.Capacity
			if capacity > 0 && !d.best.Own && d.openRequests.Load() >= int64(max(1, capacity/max(1, t.policy.GatewayCount))) {
				continue
			}
			if d.best.Allows(req, now) {
				return Selection{d.best, d}, true
			}
		}
	}
	return Selection{}, false
}

// AdmitForwarded checks a request that a neighbour forwarded by the advertisement id. It returns the route to use and an empty
// reason, or the reason why the request is rejected.
func (t *Table) AdmitForwarded(id ID, req *Request) (sel Selection, reason string) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.now()
	d := t.locRIB[id]
	if d == nil || d.best == nil {
		return Selection{}, "there is no such offer"
	}
	if d.best.Own {
		return Selection{d.best, d}, CheckServe(&d.best.Advertisement, req, t.policy.Self, now)
	}
	if len(req.Via) == 0 {
		return Selection{}, "it goes round"
	}
	from := req.Via[len(req.Via)-1]
	if _, reason := t.export(d, from, now); reason != "" {
		return Selection{}, reason
	}
	if !d.best.Allows(req, now) {
		return Selection{}, "its rules do not allow this call here"
	}
	return Selection{d.best, d}, ""
}
