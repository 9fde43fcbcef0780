package routeexchange

import "time"

// export is the best route of an advertisement as it is told to a neighbour. The caller holds mu.
func (t *Table) export(d *destination, to string, now time.Time) (Advertisement, string) {
	if d.best == nil {
		return Advertisement{}, "there is no way"
	}
	var transit Transit
	if !d.best.Own {
		transit = t.policy.Neighbours[d.best.Path[0]].Transit
	}
	return CheckExport(d.best.Advertisement, t.policy.Self, to, d.best.Own, transit, now)
}

// AdjRIBOut is the table that a neighbour is told now, and what tells of its next change.
func (t *Table) AdjRIBOut(to string) (map[ID]Advertisement, <-chan struct{}) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.now()
	out := map[ID]Advertisement{}
	for id, d := range t.locRIB {
		if adv, reason := t.export(d, to, now); reason == "" {
			out[id] = adv
		}
	}
	return out, t.changed
}
