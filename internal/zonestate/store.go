package zonestate

import (
	"cmp"
	"slices"
	"time"
)

// pageKey identifies a page of a zone in a plane. Rows of different authors with the same key are alternatives.
type pageKey struct {
	zone        ZoneID
	plane, page uint8
}

// storedRow is a row with a lower bound, by this node's clock, on the creation time of its oldest part.
type storedRow struct {
	Row
	madeAt time.Duration
}

// maxAuthors is the maximum number of rows per key. There are several while nodes disagree on which node is the root.
const maxAuthors = 3

// store holds rows. Its memory use is proportional to the number of zones.
type store struct {
	maxAge time.Duration
	rows   map[pageKey][]storedRow // ordered by author ID
}

// compareVersions compares two rows of one author by incarnation and sequence number. Sequence numbers wrap around and are
// compared by serial number arithmetic (RFC 1982): stored rows are never so old that they differ by half of the range.
func compareVersions(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Author.Incarnation, b.Author.Incarnation), cmp.Compare(int32(a.Seq-b.Seq), 0))
}

// put merges a row, and reports whether it is stored as the first one of its author or supersedes an earlier one.
func (s *store) put(row Row, madeAt time.Duration) bool {
	key := pageKey{row.ZoneID, row.Plane, row.Page}
	list := s.rows[key]
	i, known := slices.BinarySearchFunc(list, row.Author.ID, func(h storedRow, id uint64) int { return cmp.Compare(h.Author.ID, id) })
	if known {
		return list[i].merge(row, madeAt)
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
	s.rows[key] = slices.Insert(list, i, storedRow{row, madeAt})
	return true
}

// merge replaces the row if r is a later one of the same author, and reports whether it did.
func (h *storedRow) merge(r Row, madeAt time.Duration) bool {
	order := compareVersions(r, h.Row)
	if order == 0 {
		h.madeAt = max(h.madeAt, madeAt) // the same row received on a faster path has a tighter bound on its age
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

// advance removes rows that are older than maxAge, and returns their number.
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

// best returns the row of a page to read: the fresh row with the most parts, and of several such rows the youngest; or the
// youngest row if none is fresh.
func (s *store) best(now time.Duration, zone ZoneID, page uint8, fresh time.Duration) (best storedRow, found bool) {
	for plane := range uint8(planes) {
		for _, candidate := range s.rows[pageKey{zone, plane, page}] {
			if !found || candidate.betterThan(best, now, fresh) {
				best = candidate
				found = true
			}
		}
	}
	return best, found
}

// betterThan reports whether the row is preferred to another for reading.
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

// size returns the number of stored rows.
func (s *store) size() (n int) {
	for _, list := range s.rows {
		n += len(list)
	}
	return n
}

// row returns the row with its age at now.
func (h storedRow) row(now time.Duration) Row {
	r := h.Row
	r.Age = now - h.madeAt
	return r
}
