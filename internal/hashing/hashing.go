// Package hashing spreads numbers over 64 bits, for decisions that need a hash of an identifier which is the same on every
// machine and in every version: a client's queue, a position on a hash ring, a pseudo-random choice that all agents make alike.
//
// Its functions are pure and may be called by any goroutine. They are not fit for secrets: anyone who knows the input can
// compute the hash.
package hashing

// The constants of SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators, 2014).
const (
	// goldenGamma is the odd number nearest to 2^64 divided by the golden ratio.
	goldenGamma      = 0x9e3779b97f4a7c15
	firstMultiplier  = 0xbf58476d1ce4e5b9
	secondMultiplier = 0x94d049bb133111eb
)

// Mix64 returns the number that a SplitMix64 generator draws next from state. Each bit of the number depends on each bit of
// state. Mix64 is a bijection, so different states give different numbers.
func Mix64(state uint64) uint64 {
	state += goldenGamma
	state = (state ^ state>>30) * firstMultiplier
	state = (state ^ state>>27) * secondMultiplier
	return state ^ state>>31
}
