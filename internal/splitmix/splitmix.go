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
