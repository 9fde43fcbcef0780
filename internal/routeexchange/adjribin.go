package routeexchange

import (
	"math"
	"time"
)

// Source identifies the sender of a received table: one incarnation of a partner's gateway.
type Source struct {
	Partner, Gateway string
	Incarnation      uint64
}

// incarnationEnd records the state of a partner's advertisements when the last link to an incarnation of a gateway ended.
type incarnationEnd struct {
	maxVersion uint64 // highest version of the partner's own advertisements, from any of its gateways
	at         time.Time
}

// incarnationEndRetention is how long an incarnationEnd is kept, for raiseVersions to recognize a gateway that has restarted.
const incarnationEndRetention = 10 * time.Minute

// replace sets the complete table of a source. It replaces the source's previous table, those of other incarnations of its
// gateway, and any stale tables of its partner.
func (t *Table) replace(source Source, advertisements []Advertisement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	affected := map[ID]bool{}
	for other, table := range t.adjRIBsIn { // the previous table, other incarnations', and stale ones
		if other.Partner == source.Partner && (other.Gateway == source.Gateway || !t.staleSince[source.Partner].IsZero()) {
			for id := range table {
				affected[id] = true
			}
			if other == source {
				continue // the source resends its table; not a new incarnation
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

// update applies an incremental change to the table of a source.
func (t *Table) update(source Source, put []Advertisement, withdrawn []ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	table := t.adjRIBsIn[source]
	if table == nil {
		return // the complete table has not arrived yet
	}
	affected := map[ID]bool{}
	for _, id := range withdrawn {
		delete(table, id)
		affected[id] = true
	}
	t.importAll(source, put, affected)
	t.reselect(affected)
}

// importAll adds a source's advertisements to its Adj-RIB-In if they are well formed and the import rules accept them. The
// others are counted as rejected and displace no other advertisement. The caller must hold mu.
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

// checkImport returns why an advertisement of a source is rejected, or "" if it is accepted. The caller must hold mu.
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

// countRejected counts a rejected advertisement of a partner. The caller must hold mu.
func (t *Table) countRejected(partner, reason string) {
	if t.rejected[partner] == nil {
		t.rejected[partner] = map[string]int{}
	}
	t.rejected[partner][reason]++
}

// PeerDown handles the end of the last link to a source. The source's table is removed, unless it is the last table of its
// partner: then it is marked stale and kept for Policy.StaleTime.
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

// removeSource removes the table of a source. The caller must hold mu.
func (t *Table) removeSource(s Source) {
	delete(t.adjRIBsIn, s)
	delete(t.versionOffsets, s)
}

// recordIncarnationEnd records the end of a gateway's incarnation. The caller must hold mu.
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

// raiseVersions offsets the versions that a restarted gateway advertises, so that they are higher than those its partner had
// advertised when the gateway's last incarnation ended. A version is the wall time at which a gateway began to apply a rule. If
// its clock was set back between two incarnations, its newest rule would look older than those that the partner's other
// gateways still apply. Without a clock step, an incarnation that started after a version was advertised has no version as low.
// The caller must hold mu.
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
