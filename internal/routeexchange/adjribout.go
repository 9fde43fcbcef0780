package routeexchange

import "time"

// export returns the best route to a destination as it is advertised to a neighbour, or why it is not advertised. The caller
// must hold mu.
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

// AdjRIBOut returns the table that is advertised to a neighbour now, and a channel that is closed at the next change of the
// chosen routes.
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
