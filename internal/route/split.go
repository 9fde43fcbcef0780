package route

import (
	"slices"
	"strings"
)

// split distributes a route's requests among its pools by weight.
type split struct {
	pools       []int    // indexes into the table's pools, sorted by pool name
	upperBounds []uint64 // cumulative weights, including each pool's own
}

// newSplit returns a split over targets; pools are the table's pools in sorted order. Targets of weight 0 get no requests.
func newSplit(targets []Target, pools []string) split {
	targets = slices.Clone(targets)
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.Pool, b.Pool) })
	var s split
	var sum uint64
	for _, target := range targets {
		if target.Weight <= 0 {
			continue
		}
		sum += uint64(target.Weight)
		pool, _ := slices.BinarySearch(pools, target.Pool)
		s.pools = append(s.pools, pool)
		s.upperBounds = append(s.upperBounds, sum)
	}
	return s
}

// choose returns the pool for a hash key. Each pool has one contiguous range of the sum of weights, so that a small
// change of a weight moves few requests.
func (s split) choose(hashKey string) int {
	if len(s.pools) == 1 {
		return s.pools[0]
	}
	sum := s.upperBounds[len(s.upperBounds)-1]
	point := uint64(unitInterval(hash(hashKey)) * float64(sum))
	i := 0
	for s.upperBounds[i] <= point {
		i++
	}
	return s.pools[i]
}

// unitInterval maps a hash to [0, 1) by its highest 53 bits, the precision of a float64.
func unitInterval(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// Parameters of 64-bit FNV-1a, and the multipliers of MurmurHash3's finalizer.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	mix1      = 0xff51afd7ed558ccd
	mix2      = 0xc4ceb9fe1a85ec53
)

// hash returns the FNV-1a hash of s with its low bits mixed into the high bits, which choose uses. It has no random
// seed, so that it is the same on every node and after every start.
func hash(s string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	h ^= h >> 33
	h *= mix1
	h ^= h >> 33
	h *= mix2
	return h ^ h>>33
}
