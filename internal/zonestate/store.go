package zonestate

import (
	"cmp"
	"slices"
	"time"
)

// pageKey identifies a page of a zone in a plane. Rows of different authors for one key are alternatives.
type pageKey struct {
	zone        ZoneID
	plane, page uint8
}

// storedRow is a row with the time of this node's clock before which its oldest part was not made.
type storedRow struct {
	Row
	madeAt time.Duration
}

// maxAuthors bounds the rows of one key. There are several while nodes disagree on which of them is the root.
const maxAuthors = 3

// store holds rows. Its memory grows with the number of zones.
type store struct {
	maxAge time.Duration
	rows   map[pageKey][]storedRow // in the order of the authors' IDs
}

// compareVersions orders the rows of one author by incarnation and sequence. Sequences wrap. They differ by less than half of
// their range, because no row is stored for longer, so the one that is ahead is later (RFC 1982).
func compareVersions(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Author.Incarnation, b.Author.Incarnation), cmp.Compare(int32(a.Seq-b.Seq), 0))
}

// put merges a row, and reports whether it supersedes an earlier one of its author or is the first.
func (s *store) put(r Row, madeAt time.Duration) bool {
	k := pageKey{r.ZoneID, r.Plane, r.Page}
	list := s.rows[k]
	i, known := slices.BinarySearchFunc(list, r.Author.ID, func(h storedRow, id uint64) int { return cmp.Compare(h.Author.ID, id) })
	if known {
		return list[i].merge(r, madeAt)
	}
	if len(list) >= maxAuthors {
		oldest := oldestRow(list)
		if list[oldest].madeAt >= madeAt {
			return false
		}
		list = slices.Delete(list, oldest, oldest+1)
		if i > oldest {
			i--
		}
	}
	s.rows[k] = slices.Insert(list, i, storedRow{r, madeAt})
	return true
}

// merge replaces the row by a later one of its author, and reports whether it did.
func (h *storedRow) merge(r Row, madeAt time.Duration) bool {
	order := compareVersions(r, h.Row)
	if order == 0 {
		h.madeAt = max(h.madeAt, madeAt) // the same row on a faster path: its age has a tighter bound
	}
	if order <= 0 {
		return false
	}
	h.Row = r
	h.madeAt = madeAt
	return true
}

// oldestRow returns the index of the oldest row.
func oldestRow(list []storedRow) int {
	oldest := 0
	for i := range list {
		if list[i].madeAt < list[oldest].madeAt {
			oldest = i
		}
	}
	return oldest
}

// advance drops rows that have grown too old, and returns how many.
func (s *store) advance(now time.Duration) (dropped int) {
	for k, list := range s.rows {
		recent := slices.DeleteFunc(list, func(h storedRow) bool { return now-h.madeAt > s.maxAge })
		dropped += len(list) - len(recent)
		s.rows[k] = recent
		if len(recent) == 0 {
			delete(s.rows, k)
		}
	}
	return dropped
}

// best returns the row of a page to be read: of fresh rows the one of most nodes' parts, and of these the youngest; if there
// is no fresh row, the youngest.
func (s *store) best(now time.Duration, zone ZoneID, page uint8, fresh time.Duration) (best storedRow, found bool) {
	for plane := range uint8(planes) {
		for _, h := range s.rows[pageKey{zone, plane, page}] {
			if !found || h.betterThan(best, now, fresh) {
				best = h
				found = true
			}
		}
	}
	return best, found
}

// betterThan says that a row is to be read in place of another.
func (h storedRow) betterThan(other storedRow, now, fresh time.Duration) bool {
	isFresh := now-h.madeAt <= fresh
	otherFresh := now-other.madeAt <= fresh
	switch {
	case isFresh != otherFresh:
		return isFresh
	case isFresh && h.PartCount != other.PartCount:
		return h.PartCount > other.PartCount
	default:
		return h.madeAt > other.madeAt
	}
}

// size returns how many rows are stored.
func (s *store) size() (n int) {
	for _, list := range s.rows {
		n += len(list)
	}
	return n
}

// row returns the row with its age as of now.
func (h storedRow) row(now time.Duration) Row {
	r := h.Row
	r.Age = now - h.madeAt
	return r
}
