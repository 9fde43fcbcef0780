// Package splitmix implements the generator splitmix64 (Steele, Lea, Flood 2014): pseudo-random numbers as a function of a seed and
// a counter, so that a state machine that uses it can be copied with all its state and replayed. It also hashes names to numbers
// on which all nodes agree. The package has no state and is not suitable for cryptography.
package splitmix

// GoldenGamma is the increment between successive states: 2^64 divided by the golden ratio.
const GoldenGamma = 0x9e3779b97f4a7c15

// Parameters of FNV-1a with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// separator follows each word in Hash. It never occurs in UTF-8 text, so that "ab", "c" and "a", "bc" differ.
const separator = 0xff

// Mix returns the output for a state. It is a bijection in which each input bit affects all output bits.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Draw returns the n-th number of a seed's sequence in [0, limit). limit must be positive.
func Draw(seed, n uint64, limit int) int {
	return int(Mix(seed+n*GoldenGamma) % uint64(limit))
}

// Hash returns the mixed FNV-1a hash of words, each followed by a separator. All nodes that rank names by their hash with a key get
// the same order (rendezvous hashing).
func Hash(words ...string) uint64 {
	h := uint64(fnvOffset)
	for _, w := range words {
		for i := range len(w) {
			h = (h ^ uint64(w[i])) * fnvPrime
		}
		h = (h ^ separator) * fnvPrime
	}
	return Mix(h)
}
