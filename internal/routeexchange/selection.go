package routeexchange

import "strings"

// Selection is the route that was chosen for a request.
type Selection struct {
	*Route
	destination *destination
}

// Take counts the request against the capacity of its destination, until Done.
func (c Selection) Take() { c.destination.open.Add(1) }

// Done ends a Take.
func (c Selection) Done() { c.destination.open.Add(-1) }

// Choose returns the route of a request: of the advertisements below whose paths it lies, those of the longest path that take it, the best one.
// false: it is nobody's offer, and the own routes say what becomes of it.
func (t *Table) Choose(c *Request) (Selection, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	in := t.byClass[c.Class]
	if in == nil {
		return Selection{}, false
	}
	now := t.now()
	for end := len(c.Path); end > 0; end = strings.LastIndexByte(c.Path[:end-1], '/') + 1 {
		if c.Path[end-1] != '/' {
			if end = strings.LastIndexByte(c.Path[:end], '/') + 1; end == 0 {
				break
			}
		}
		for _, r := range in[c.Path[:end]] {
			room := r.best.Capacity
			if room > 0 && !r.best.Own && r.open.Load() >= int64(max(1, room/max(1, t.policy.GroupSize))) {
				continue
			}
			if r.best.Allows(c, now) {
				return Selection{r.best, r}, true
			}
		}
	}
	return Selection{}, false
}

// AdmitForwarded says why a request from a neighbour, by an advertisement that it names, is not taken here; empty: it is, and w is its way on.
func (t *Table) AdmitForwarded(id ID, c *Request) (w Selection, why string) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.now()
	r := t.locRIB[id]
	if r == nil || r.best == nil {
		return Selection{}, "there is no such offer"
	}
	if r.best.Own {
		return Selection{r.best, r}, MayServe(&r.best.Advertisement, c, t.policy.Self, now)
	}
	if len(c.Via) == 0 {
		return Selection{}, "it goes round"
	}
	from := c.Via[len(c.Via)-1]
	if _, why := t.export(r, from, now); why != "" {
		return Selection{}, why
	}
	if !r.best.Allows(c, now) {
		return Selection{}, "its rules do not allow this call here"
	}
	return Selection{r.best, r}, ""
}
