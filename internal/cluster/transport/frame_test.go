package transport

import (
	"bytes"
	"errors"
	"testing"

	"switchfork/internal/cluster/election"

	"pgregory.net/rapid"
)

func anyMessage(t *rapid.T) election.Message {
	verdict := func(label string) election.Verdict { return election.Verdict(rapid.IntRange(0, 3).Draw(t, label)) }
	number := rapid.Int32()
	return election.Message{
		Kind:           election.Kind(rapid.IntRange(int(election.Prepare), int(election.MembersCommitted)).Draw(t, "kind")),
		Ballot:         rapid.Uint64().Draw(t, "ballot"),
		ReleasedBallot: rapid.Uint64().Draw(t, "released up to"),
		Record: election.Record{
			Term:     rapid.Uint64().Draw(t, "term"),
			Index:    rapid.Uint32().Draw(t, "index"),
			Decision: election.Decision{Build: number.Draw(t, "build"), Stage: number.Draw(t, "stage"), Verdict: verdict("verdict")},
			Prior:    verdict("prior"),
		},
		Recommendation: election.Decision{
			Build:   number.Draw(t, "recommended build"),
			Stage:   number.Draw(t, "recommended stage"),
			Verdict: verdict("recommended verdict"),
		},
		Members: election.Members{
			Term:    rapid.Uint64().Draw(t, "members term"),
			Version: rapid.Uint32().Draw(t, "members version"),
			Mask:    rapid.Uint64().Draw(t, "members mask"),
		},
	}
}

// An encoded message decodes to the same message, fits into a datagram, can't be mistaken for gossip of nine-byte lines, and is refused
// if any of its bytes is changed.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := anyMessage(t)
		sender := rapid.IntRange(0, election.MaxReplicas-1).Draw(t, "sender")
		group := rapid.Uint64().Draw(t, "group")
		b := Encode(group, sender, message)
		if len(b) > 256 || len(b)%9 == 0 || !IsFrame(b) {
			t.Fatalf("frame of %d bytes, want at most 256, not a multiple of 9, and the magic number at the start", len(b))
		}
		from, decoded, err := Decode(group, b)
		if err != nil || from != sender || decoded != message {
			t.Fatalf("%+v decoded to %+v from %d, error %v, want the same message and its sender", message, decoded, from, err)
		}
		if _, _, err = Decode(group+1, b); !errors.Is(err, ErrForeign) {
			t.Fatalf("message of another group: got error %v, want ErrForeign", err)
		}
		at := rapid.IntRange(0, len(b)-1).Draw(t, "damaged byte")
		b[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flipped bits"))
		if _, _, err = Decode(group, b); err == nil {
			t.Fatalf("frame was decoded although byte %d was changed", at)
		}
	})
}

// Decode does not panic on any bytes, and a message that it accepts encodes to the same bytes.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(7, 2, election.Message{Kind: election.TransferLease, Ballot: 513, ReleasedBallot: 770}))
	f.Add([]byte{0xa7, 0xc0, 0xd1, 0x5f})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		if from, m, err := Decode(7, b); err == nil && !bytes.Equal(Encode(7, from, m), b) {
			t.Errorf("%x decodes to %+v, which encodes to other bytes", b, m)
		}
	})
}
