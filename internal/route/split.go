package route

import (
	"slices"
	"strings"
)

// split is how a route's requests are shared among its pools.
type split struct {
	pools       []int // indexes into the table's pools, in the order of their names
	upperBounds []uint64
}

func newSplit(to []Target, pools []string) split {
	to = slices.Clone(to)
	slices.SortFunc(to, func(a, b Target) int { return strings.Compare(a.Pool, b.Pool) })
	var s split
	var sum uint64
	for _, t := range to {
		if t.Weight > 0 {
			sum += uint64(t.Weight)
			i, _ := slices.BinarySearch(pools, t.Pool)
			s.pools, s.upperBounds = append(s.pools, i), append(s.upperBounds, sum)
		}
	}
	return s
}

// choose settles on a pool by what is to be drawn by. Each pool has a run of the whole, so that a weight that
// changes a little moves few.
func (s split) choose(draw string) int {
	if len(s.pools) == 1 {
		return s.pools[0]
	}
	sum := s.upperBounds[len(s.upperBounds)-1]
	at := uint64(float64(hash(draw)>>11) / (1 << 53) * float64(sum))
	i := 0
	for s.upperBounds[i] <= at {
		i++
	}
	return s.pools[i]
}

// hash is FNV-1a with 64 bits, its low bits mixed into the high ones that choose goes by: the same on every
// node and after every start, as a drawn seed would not be.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
