package routeexchange

import "time"

// export is the best route of an advertisement as it is told to a neighbour. The caller holds mu.
func (t *Table) export(r *destination, to string, now time.Time) (Advertisement, string) {
	if r.best == nil {
		return Advertisement{}, "there is no way"
	}
	var p Transit
	if !r.best.Own {
		p = t.policy.Neighbours[r.best.Path[0]].Transit
	}
	return MayExport(r.best.Advertisement, t.policy.Self, to, r.best.Own, p, now)
}

// AdjRIBOut is the table that a neighbour is told now, and what tells of its next change.
func (t *Table) AdjRIBOut(to string) (map[ID]Advertisement, <-chan struct{}) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.now()
	out := map[ID]Advertisement{}
	for id, r := range t.locRIB {
		if o, why := t.export(r, to, now); why == "" {
			out[id] = o
		}
	}
	return out, t.changed
}
