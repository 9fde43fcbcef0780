package zonestate

import (
	"cmp"
	"slices"
	"time"
)

// pageKey is what rows of different authors are alternatives of.
type pageKey struct {
	place       Place
	plane, page uint8
}

// storedRow is a row in a store: made is by when on its node's clock its oldest part was made at the latest.
type storedRow struct {
	Row
	madeAt time.Duration
}

// maxAuthors bounds the rows of one key: nodes may differ for a while on who is a root.
const maxAuthors = 3

// store holds rows. Its memory goes with the number of zones.
type store struct {
	keep time.Duration
	rows map[pageKey][]storedRow // by the authors' IDs
}

// compareVersions orders a row's versions. Sequences wrap: of two that differ by less than half of their range, and no row lives long
// enough for more, the one that is ahead is later (RFC 1982).
func compareVersions(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Author.Incarnation, b.Author.Incarnation), cmp.Compare(int32(a.Seq-b.Seq), 0))
}

// put merges a row. news: it takes the place of an earlier one, or of none.
func (s *store) put(r Row, made time.Duration) (news bool) {
	k := pageKey{r.Place, r.Plane, r.Page}
	list := s.rows[k]
	i, known := slices.BinarySearchFunc(list, r.Author.ID, func(h storedRow, id uint64) int { return cmp.Compare(h.Author.ID, id) })
	if known {
		switch c := compareVersions(r, list[i].Row); {
		case c > 0:
			list[i] = storedRow{r, made}
			return true
		case c == 0:
			list[i].madeAt = max(list[i].madeAt, made) // the same by a shorter way
		}
		return false
	}
	if len(list) >= maxAuthors {
		oldest := 0
		for k := range list {
			if list[k].madeAt < list[oldest].madeAt {
				oldest = k
			}
		}
		if list[oldest].madeAt >= made {
			return false
		}
		list = slices.Delete(list, oldest, oldest+1)
		if i > oldest {
			i--
		}
	}
	s.rows[k] = slices.Insert(list, i, storedRow{r, made})
	return true
}

// advance drops what has grown too old, and counts it.
func (s *store) advance(now time.Duration) (late int) {
	for k, list := range s.rows {
		kept := slices.DeleteFunc(list, func(h storedRow) bool { return now-h.madeAt > s.keep })
		late += len(list) - len(kept)
		if s.rows[k] = kept; len(kept) == 0 {
			delete(s.rows, k)
		}
	}
	return late
}

// best is the row of a page that is of most nodes' parts, and of these the youngest; of rows that are older than fresh, the
// youngest.
func (s *store) best(now time.Duration, of Place, page uint8, fresh time.Duration) (b storedRow, found bool) {
	for plane := range uint8(planes) {
		for _, h := range s.rows[pageKey{of, plane, page}] {
			better := !found
			if found {
				young, was := now-h.madeAt <= fresh, now-b.madeAt <= fresh
				switch {
				case young != was:
					better = young
				case young && h.From != b.From:
					better = h.From > b.From
				default:
					better = h.madeAt > b.madeAt
				}
			}
			if better {
				b, found = h, true
			}
		}
	}
	return b, found
}

// size is how many rows are held.
func (s *store) size() (n int) {
	for _, list := range s.rows {
		n += len(list)
	}
	return n
}

// row is a row with its age as of now.
func (h storedRow) row(now time.Duration) Row {
	r := h.Row
	r.Age = now - h.madeAt
	return r
}
