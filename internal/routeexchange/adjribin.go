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
	maxVersion uint64 // version of the partner's own advertisements, from any gateway of its
	at         time.Time
}

// incarnationEndRetention is how long a gateway that comes back is known to have begun anew since.
const incarnationEndRetention = 10 * time.Minute

// replace takes the complete table of a source in place of what it told before.
func (t *Table) replace(source Source, advertisements []Advertisement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	affected := map[ID]bool{}
	for other, table := range t.adjRIBsIn { // an older incarnation's, and what was kept as stale
		if other.Partner == source.Partner && (other.Gateway == source.Gateway || !t.staleSince[source.Partner].IsZero()) {
			for id := range table {
				affected[id] = true
			}
			if other == source {
				continue // it tells its table once more
			}
			if other.Gateway == source.Gateway {
				t.recordIncarnationEnd(other)
			}
			t.removeSource(other)
		}
	}
	delete(t.staleSince, source.Partner)
	t.raiseVersions(source, advertisements)
	t.adjRIBsIn[source] = map[ID]*Advertisement{}
	t.importAll(source, advertisements, affected)
	t.reselect(affected)
}

// update takes what a source tells beyond its table.
func (t *Table) update(source Source, put []Advertisement, withdrawn []ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	table := t.adjRIBsIn[source]
	if table == nil {
		return // its complete table has not come
	}
	affected := map[ID]bool{}
	for _, id := range withdrawn {
		delete(table, id)
		affected[id] = true
	}
	t.importAll(source, put, affected)
	t.reselect(affected)
}

// importAll takes advertisements of a source into its Adj-RIB-In, as far as they are well formed and import rules let them in; the
// others are counted and take nothing else's place. The caller holds mu.
func (t *Table) importAll(source Source, list []Advertisement, affected map[ID]bool) {
	now := t.now()
	table := t.adjRIBsIn[source]
	for i := range list {
		adv := &list[i]
		if adv.ID.Origin == source.Partner {
			adv.Version += t.versionOffsets[source]
		}
		affected[adv.ID] = true
		if reason := t.checkImport(source, adv, now); reason != "" {
			delete(table, adv.ID)
			t.countRejected(source.Partner, reason)
			continue
		}
		table[adv.ID] = adv
	}
}

// checkImport says why an advertisement of a source is not taken; empty: it is. The caller holds mu.
func (t *Table) checkImport(source Source, adv *Advertisement, now time.Time) string {
	neighbour, known := t.policy.Neighbours[source.Partner]
	if !known {
		return "the partner is not in the file"
	}
	if err := adv.Check(source.Partner); err != nil {
		return "malformed"
	}
	table := t.adjRIBsIn[source]
	others := len(table)
	if table[adv.ID] != nil {
		others--
	}
	return CheckImport(adv, t.policy.Self, neighbour.Import, others, now)
}

// countRejected counts an advertisement of a partner that was not taken. The caller holds mu.
func (t *Table) countRejected(partner, reason string) {
	if t.rejected[partner] == nil {
		t.rejected[partner] = map[string]int{}
	}
	t.rejected[partner][reason]++
}

// PeerDown says that a link has ended. The table that came over it goes, unless it was the last one of its partner: then it stays
// as stale for a while.
func (t *Table) PeerDown(source Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.adjRIBsIn[source] == nil {
		return
	}
	t.recordIncarnationEnd(source)
	for other := range t.adjRIBsIn {
		if other.Partner == source.Partner && other != source && t.staleSince[source.Partner].IsZero() {
			affected := map[ID]bool{}
			for id := range t.adjRIBsIn[source] {
				affected[id] = true
			}
			t.removeSource(source)
			t.reselect(affected)
			return
		}
	}
	t.staleSince[source.Partner] = t.now()
}

// removeSource drops the table of a source. The caller holds mu.
func (t *Table) removeSource(s Source) {
	delete(t.adjRIBsIn, s)
	delete(t.versionOffsets, s)
}

// recordIncarnationEnd notes what was known when a gateway's life ended. The caller holds mu.
func (t *Table) recordIncarnationEnd(source Source) {
	end := incarnationEnd{at: t.now()}
	for other, table := range t.adjRIBsIn {
		for id, adv := range table {
			if other.Partner == source.Partner && id.Origin == source.Partner {
				end.maxVersion = max(end.maxVersion, adv.Version)
			}
		}
	}
	t.incarnationEnds[[2]string{source.Partner, source.Gateway}] = end
}

// raiseVersions has a gateway's new incarnation tell higher versions than its partner had told before. A version is the wall time at
// which a gateway began to go by a rule: where its clock was set back between two of its lives, its newest rule would look
// older than what the others of its group still go by. A life that began after a version was told has none so low. The client
// holds mu.
func (t *Table) raiseVersions(source Source, all []Advertisement) {
	key := [2]string{source.Partner, source.Gateway}
	end, known := t.incarnationEnds[key]
	delete(t.incarnationEnds, key)
	if !known {
		return
	}
	lowest := uint64(math.MaxUint64)
	for i := range all {
		if all[i].ID.Origin == source.Partner {
			lowest = min(lowest, all[i].Version)
		}
	}
	if lowest <= end.maxVersion && end.maxVersion < math.MaxUint64 {
		t.versionOffsets[source] = end.maxVersion + 1 - lowest
	}
}
