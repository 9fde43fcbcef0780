// Package splitmix is splitmix64 (Steele, Lea, Flood 2014): numbers that look random from a seed and a count, so that a machine
// that draws them can be copied whole and played again.
package splitmix

// Golden is the step from one state to the next.
const Golden = 0x9e3779b97f4a7c15

// Mix scatters the bits of a number.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Draw is the n-th number from a seed, below a bound.
func Draw(seed, n uint64, below int) int { return int(Mix(seed+n*Golden) % uint64(below)) }

// Of is a number that words have in common with nobody else, but by chance: FNV-1a over them, each with its end, mixed. Where
// all draw by it who comes first for a key, all draw alike.
func Of(words ...string) uint64 {
	h := uint64(14695981039346656037)
	for _, w := range words {
		for i := range len(w) {
			h = (h ^ uint64(w[i])) * 1099511628211
		}
		h = (h ^ 0xff) * 1099511628211
	}
	return Mix(h)
}
