// Package transport carries the decider's messages between agents: as datagrams of the users' platform, which others send and
// hand on, or over length-framed TCP. It owns the bytes on the wire and the connections; it must never look at what a
// message asks for, nor answer one.
package transport

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"switchfork/internal/cluster/election"
)

// mark begins every message. The judges' sheets share the socket: they hold lines of nine bytes, which size is not.
const mark = 0x5fd1c0a7

// frame is a message on the wire, little-endian without gaps.
type frame struct {
	Mark    uint32
	Group   uint64 // of agents: another's messages are none of ours
	From    uint8
	Kind    election.Kind
	Ballot  uint64
	After   uint64
	Record  election.Record
	Wish    election.Decision
	Members election.Members
}

// size is what a message takes, its sum included: 85 bytes, of the 256 that a datagram of the users' platform may have.
var size = binary.Size(frame{}) + 4

// FrameSize is what a message takes.
func FrameSize() int { return size }

// What is wrong with bytes.
var (
	ErrForeign = errors.New("not a message of this group's deciders")
	ErrCorrupt = errors.New("a message whose sum or content is wrong")
)

// Encode puts a message into bytes.
func Encode(group uint64, from int, m election.Message) []byte {
	b, err := binary.Append(make([]byte, 0, size), binary.LittleEndian,
		frame{mark, group, uint8(from), m.Kind, m.Ballot, m.ReleasedUpTo, m.Record, m.Recommendation, m.Members})
	if err != nil {
		panic(err) // the frame has a fixed size
	}
	return binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(b))
}

// IsFrame tells whether bytes are meant for a decider at all.
func IsFrame(b []byte) bool { return len(b) >= 4 && binary.LittleEndian.Uint32(b) == mark }

// Decode reads bytes; nothing of a spoilt message is used.
func Decode(group uint64, b []byte) (from int, m election.Message, err error) {
	if !IsFrame(b) || len(b) != size {
		return 0, m, ErrForeign
	}
	body := b[:size-4]
	if crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(b[size-4:]) {
		return 0, m, ErrCorrupt
	}
	var f frame
	if _, err = binary.Decode(body, binary.LittleEndian, &f); err != nil {
		return 0, m, ErrCorrupt
	}
	if f.Group != group {
		return 0, m, ErrForeign
	}
	if f.From >= election.MaxReplicas || !f.Kind.IsValid() || f.Record.Verdict > election.RollBack || f.Record.Prior > election.RollBack || f.Wish.Verdict > election.RollBack {
		return 0, m, ErrCorrupt
	}
	return int(f.From), election.Message{Kind: f.Kind, Ballot: f.Ballot, ReleasedUpTo: f.After, Record: f.Record, Recommendation: f.Wish, Members: f.Members}, nil
}
