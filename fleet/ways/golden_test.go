package ways

import (
	"fmt"
	"strings"
	"testing"

	"switchfork/fleet/decider"
	"switchfork/internal/golden"
)

// Agents of two versions of the program speak to each other: what they write stays as it was, byte by byte.
func TestGoldenFrames(t *testing.T) {
	var out strings.Builder
	for kind := decider.Prepare; kind.Known(); kind++ {
		m := decider.Message{Kind: kind, Ballot: 0x0102030405060700 + uint64(kind), After: 0x1112131415161718,
			Record: decider.Record{Term: 0x2122232425262728, Serial: 0x31323334,
				Decision: decider.Decision{Build: 0x41424344, Stage: -2, Verdict: decider.Back}, Prior: decider.On},
			Wish:    decider.Decision{Build: -1, Stage: 0x51525354, Verdict: decider.Hold},
			Members: decider.Members{Term: 0x6162636465666768, Serial: 0x71727374, Mask: 0x8182838485868788}}
		fmt.Fprintf(&out, "%d: %x\n", kind, Encode(0x9192939495969798, 63, m))
	}
	fmt.Fprintf(&out, "empty: %x\nsize: %d\n", Encode(0, 0, decider.Message{Kind: decider.Prepare}), Size())
	golden.Check(t, "frames.golden", out.String())
}
