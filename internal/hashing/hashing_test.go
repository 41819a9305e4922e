package hashing

import "testing"

// TestMix64ReturnsReferenceValues checks Mix64 against the numbers that the reference implementation of SplitMix64 draws from a
// seed.
func TestMix64ReturnsReferenceValues(t *testing.T) {
	for seed, want := range map[uint64][]uint64{
		0:       {0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f},
		1234567: {6457827717110365317, 3203168211198807973, 9817491932198370423, 4593380528125082431, 16408922859458223821},
	} {
		for i, number := range want {
			state := seed + uint64(i)*goldenGamma
			if got := Mix64(state); got != number {
				t.Errorf("seed %d, number %d: got %#x, want %#x", seed, i+1, got, number)
			}
		}
	}
}
