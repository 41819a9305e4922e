// Package transport carries the replicas' messages between agents. A message is encoded as one frame of fixed size, which travels
// either as a datagram of the agents' gossip or over TCP. This package neither interprets nor answers messages.
//
// Encode, Decode and IsFrame are pure functions. A TCP value may be used from any goroutine; it runs one goroutine for each peer
// that it writes to and one for each connection that it reads from.
package transport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"switchfork/internal/cluster/election"
)

// frameMagic begins every frame. The release analyzers' gossip shares the socket. That gossip consists of lines of nine bytes, and
// frameBytes is not a multiple of nine, so a frame can't be mistaken for that gossip.
const frameMagic = 0x5fd1c0a7

const (
	magicBytes    = 4
	checksumBytes = crc32.Size
)

// frame is the encoded form of a message. It is sent as these fields, little-endian and without padding, followed by a CRC-32 of them.
type frame struct {
	Magic          uint32
	Group          uint64 // group of agents; a message of another group is ignored
	From           uint8
	Kind           election.Kind
	Ballot         uint64
	ReleasedBallot uint64
	Record         election.Record
	Recommendation election.Decision
	Members        election.Members
}

// frameBytes is the size of a frame with its checksum: 85 bytes. A datagram of the gossip may have at most 256 bytes.
var frameBytes = binary.Size(frame{}) + checksumBytes

// FrameSize is the size of every frame in bytes.
func FrameSize() int { return frameBytes }

var (
	// ErrForeign marks bytes that are not a frame, or are a frame of another group.
	ErrForeign = errors.New("not a message of this group of replicas")
	// ErrCorrupt marks a frame that was damaged, or that holds an impossible value.
	ErrCorrupt = errors.New("damaged message")
)

// Errors that Decode returns. They are created once, not for each datagram, because any process may send any number of bad datagrams.
var (
	errNotFrame     = fmt.Errorf("%w: wrong magic number or length", ErrForeign)
	errOtherGroup   = fmt.Errorf("%w: frame of another group", ErrForeign)
	errChecksum     = fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	errInvalidField = fmt.Errorf("%w: a field has a value that no replica sends", ErrCorrupt)
)

// Encode returns the frame of m, a message that the agent with the index from sends to other agents of the group.
func Encode(group uint64, from int, m election.Message) []byte {
	f := frame{
		Magic:          frameMagic,
		Group:          group,
		From:           uint8(from),
		Kind:           m.Kind,
		Ballot:         m.Ballot,
		ReleasedBallot: m.ReleasedBallot,
		Record:         m.Record,
		Recommendation: m.Recommendation,
		Members:        m.Members,
	}
	b, err := binary.Append(make([]byte, 0, frameBytes), binary.LittleEndian, f)
	if err != nil {
		panic(err) // only a type without a fixed size can't be encoded
	}
	return binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(b))
}

// IsFrame reports whether a datagram begins with the magic number of a frame. The frame may be of any group.
func IsFrame(b []byte) bool {
	return len(b) >= magicBytes && binary.LittleEndian.Uint32(b) == frameMagic
}

// Decode decodes a frame of the group, and returns the sender's index and the message. It returns no part of a damaged frame.
func Decode(group uint64, b []byte) (from int, m election.Message, err error) {
	if !IsFrame(b) || len(b) != frameBytes {
		return 0, m, errNotFrame
	}
	bodyBytes := frameBytes - checksumBytes
	body := b[:bodyBytes]
	if crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(b[bodyBytes:]) {
		return 0, m, errChecksum
	}
	var f frame
	if _, err = binary.Decode(body, binary.LittleEndian, &f); err != nil {
		return 0, m, fmt.Errorf("%w: decoding its fields: %w", ErrCorrupt, err)
	}
	if f.Group != group {
		return 0, m, errOtherGroup
	}
	if !f.isValid() {
		return 0, m, errInvalidField
	}
	return int(f.From), f.message(), nil
}

// isValid reports whether all fields have values that a replica may send.
func (f frame) isValid() bool {
	for _, verdict := range []election.Verdict{f.Record.Verdict, f.Record.Prior, f.Recommendation.Verdict} {
		if verdict > election.Rollback {
			return false
		}
	}
	return f.From < election.MaxReplicas && f.Kind.IsValid()
}

func (f frame) message() election.Message {
	return election.Message{
		Kind:           f.Kind,
		Ballot:         f.Ballot,
		ReleasedBallot: f.ReleasedBallot,
		Record:         f.Record,
		Recommendation: f.Recommendation,
		Members:        f.Members,
	}
}
