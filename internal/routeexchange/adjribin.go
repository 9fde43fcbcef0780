package routeexchange

import (
	"math"
	"time"
)

// Source is where a table as received came from: one link, to one incarnation of a partner's gateway.
type Source struct {
	Partner, Gateway string
	Incarnation      uint64
}

// incarnationEnd is what was known when a gateway's last link ended.
type incarnationEnd struct {
	latest uint64 // version of the partner's own advertisements, from any gateway of its
	at     time.Time
}

// incarnationEndRetention is how long a gateway that comes back is known to have begun anew since.
const incarnationEndRetention = 10 * time.Minute

// replace takes the complete table of a source in place of what it told before.
func (t *Table) replace(s Source, all []Advertisement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	touched := map[ID]bool{}
	for other, table := range t.adjRIBsIn { // an older incarnation's, and what was kept as stale
		if other.Partner == s.Partner && (other.Gateway == s.Gateway || !t.staleSince[s.Partner].IsZero()) {
			for id := range table {
				touched[id] = true
			}
			if other == s {
				continue // it tells its table once more
			}
			if other.Gateway == s.Gateway {
				t.recordIncarnationEnd(other)
			}
			t.removeSource(other)
		}
	}
	delete(t.staleSince, s.Partner)
	t.raiseVersions(s, all)
	t.adjRIBsIn[s] = map[ID]*Advertisement{}
	t.importAll(s, all, touched)
	t.reselect(touched)
}

// update takes what a source tells beyond its table.
func (t *Table) update(s Source, put []Advertisement, gone []ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	table := t.adjRIBsIn[s]
	if table == nil {
		return // its complete table has not come
	}
	touched := map[ID]bool{}
	for _, id := range gone {
		delete(table, id)
		touched[id] = true
	}
	t.importAll(s, put, touched)
	t.reselect(touched)
}

// importAll takes advertisements of a source into its Adj-RIB-In, as far as they are well formed and import rules let them in; the
// others are counted and take nothing else's place. The caller holds mu.
func (t *Table) importAll(s Source, list []Advertisement, touched map[ID]bool) {
	now := t.now()
	table := t.adjRIBsIn[s]
	for i := range list {
		o := &list[i]
		if o.ID.Origin == s.Partner {
			o.Version += t.versionOffsets[s]
		}
		touched[o.ID] = true
		if why := t.whyNotImported(s, o, now); why != "" {
			delete(table, o.ID)
			t.countRejected(s.Partner, why)
			continue
		}
		table[o.ID] = o
	}
}

// whyNotImported says why an advertisement of a source is not taken; empty: it is. The caller holds mu.
func (t *Table) whyNotImported(s Source, o *Advertisement, now time.Time) string {
	neighbour, known := t.policy.Neighbours[s.Partner]
	if !known {
		return "the partner is not in the file"
	}
	if err := o.Check(s.Partner); err != nil {
		return "malformed"
	}
	table := t.adjRIBsIn[s]
	others := len(table)
	if table[o.ID] != nil {
		others--
	}
	return MayImport(o, t.policy.Self, neighbour.Import, others, now)
}

// countRejected counts an advertisement of a partner that was not taken. The caller holds mu.
func (t *Table) countRejected(partner, why string) {
	if t.rejected[partner] == nil {
		t.rejected[partner] = map[string]int{}
	}
	t.rejected[partner][why]++
}

// PeerDown says that a link has ended. The table that came over it goes, unless it was the last one of its partner: then it stays
// as stale for a while.
func (t *Table) PeerDown(s Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.adjRIBsIn[s] == nil {
		return
	}
	t.recordIncarnationEnd(s)
	for other := range t.adjRIBsIn {
		if other.Partner == s.Partner && other != s && t.staleSince[s.Partner].IsZero() {
			touched := map[ID]bool{}
			for id := range t.adjRIBsIn[s] {
				touched[id] = true
			}
			t.removeSource(s)
			t.reselect(touched)
			return
		}
	}
	t.staleSince[s.Partner] = t.now()
}

// removeSource drops the table of a source. The caller holds mu.
func (t *Table) removeSource(s Source) {
	delete(t.adjRIBsIn, s)
	delete(t.versionOffsets, s)
}

// recordIncarnationEnd notes what was known when a gateway's life ended. The caller holds mu.
func (t *Table) recordIncarnationEnd(s Source) {
	end := incarnationEnd{at: t.now()}
	for other, table := range t.adjRIBsIn {
		for id, o := range table {
			if other.Partner == s.Partner && id.Origin == s.Partner {
				end.latest = max(end.latest, o.Version)
			}
		}
	}
	t.incarnationEnds[[2]string{s.Partner, s.Gateway}] = end
}

// raiseVersions has a gateway's new incarnation tell higher versions than its partner had told before. A version is the wall time at
// which a gateway began to go by a rule: where its clock was set back between two of its lives, its newest rule would look
// older than what the others of its group still go by. A life that began after a version was told has none so low. The client
// holds mu.
func (t *Table) raiseVersions(s Source, all []Advertisement) {
	key := [2]string{s.Partner, s.Gateway}
	end, known := t.incarnationEnds[key]
	delete(t.incarnationEnds, key)
	if !known {
		return
	}
	least := uint64(math.MaxUint64)
	for i := range all {
		if all[i].ID.Origin == s.Partner {
			least = min(least, all[i].Version)
		}
	}
	if least <= end.latest && end.latest < math.MaxUint64 {
		t.versionOffsets[s] = end.latest + 1 - least
	}
}
