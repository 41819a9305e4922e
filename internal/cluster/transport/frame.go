// Package transport carries the replicas' messages between agents. A message is encoded as one frame of fixed size, which travels
// either as a datagram of the agents' gossip or over TCP. This package reads nothing into a message and answers none.
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

// frameMark begins every frame. The release analyzers' gossip shares the socket; it consists of lines of nine bytes, and frameBytes
// is no multiple of nine.
const frameMark = 0x5fd1c0a7

const (
	markBytes     = 4
	checksumBytes = crc32.Size
)

// frame is a message as it is sent: these fields in little-endian order without gaps, and a CRC-32 of them.
type frame struct {
	Mark           uint32
	Group          uint64 // of agents; a message of another group is ignored
	From           uint8
	Kind           election.Kind
	Ballot         uint64
	ReleasedBallot uint64
	Record         election.Record
	Recommendation election.Decision
	Members        election.Members
}

// frameBytes includes the checksum: 85 bytes, of the 256 that a datagram of the gossip may have.
var frameBytes = binary.Size(frame{}) + checksumBytes

// FrameSize is the size of every frame in bytes.
func FrameSize() int { return frameBytes }

var (
	// ErrForeign marks bytes that are no frame, or a frame of another group.
	ErrForeign = errors.New("not a message of this group of replicas")
	// ErrCorrupt marks a frame that was damaged, or that holds an impossible value.
	ErrCorrupt = errors.New("damaged message")
)

// What Decode finds. The errors are made once, as anybody may send any number of bad datagrams.
var (
	errNoFrame      = fmt.Errorf("%w: not the mark and the length of a frame", ErrForeign)
	errOtherGroup   = fmt.Errorf("%w: a frame of another group", ErrForeign)
	errChecksum     = fmt.Errorf("%w: its checksum is wrong", ErrCorrupt)
	errInvalidField = fmt.Errorf("%w: a field has a value that no replica sends", ErrCorrupt)
)

// Encode encodes a message of the agent from.
func Encode(group uint64, from int, m election.Message) []byte {
	f := frame{
		Mark:           frameMark,
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

// IsFrame tells whether a datagram is a frame of some group, by its mark.
func IsFrame(b []byte) bool {
	return len(b) >= markBytes && binary.LittleEndian.Uint32(b) == frameMark
}

// Decode decodes a frame, and returns its sender and message. Nothing of a damaged frame is used.
func Decode(group uint64, b []byte) (from int, m election.Message, err error) {
	if !IsFrame(b) || len(b) != frameBytes {
		return 0, m, errNoFrame
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

// isValid tells whether all values are ones that a replica may send.
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
