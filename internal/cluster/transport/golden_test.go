package transport

import (
	"fmt"
	"strings"
	"testing"

	"switchfork/internal/cluster/election"
	"switchfork/internal/golden"
)

// Agents of different versions of the program exchange messages, so the encoding of each kind of message must not change.
func TestGoldenFrames(t *testing.T) {
	var out strings.Builder
	for kind := election.Prepare; kind.IsValid(); kind++ {
		m := election.Message{
			Kind: kind, Ballot: 0x0102030405060700 + uint64(kind), ReleasedBallot: 0x1112131415161718,
			Record: election.Record{
				Term: 0x2122232425262728, Index: 0x31323334,
				Decision: election.Decision{Build: 0x41424344, Stage: -2, Verdict: election.Rollback}, Prior: election.Advance,
			},
			Recommendation: election.Decision{Build: -1, Stage: 0x51525354, Verdict: election.Hold},
			Members:        election.Members{Term: 0x6162636465666768, Version: 0x71727374, Mask: 0x8182838485868788},
		}
		fmt.Fprintf(&out, "%d: %x\n", kind, Encode(0x9192939495969798, 63, m))
	}
	fmt.Fprintf(&out, "empty: %x\nsize: %d\n", Encode(0, 0, election.Message{Kind: election.Prepare}), FrameSize())
	golden.Check(t, "frames.golden", out.String())
}
