package policy

import (
	"encoding/binary"
	"math"

	"switchfork/internal/hashing"
)

// recordKind is the Outcome of an attempt, or one of the kinds below.
type recordKind byte

const (
	attemptKind   recordKind = 0xfd
	verdictKind   recordKind = 0xfe
	rejectionKind recordKind = 0xff
)

// recordBytes is the size of a record. A record holds the endpoint, its build, the class, the kind, the elapsed time in whole
// milliseconds, and the requests in flight that the endpoint reports. A verdict's record holds build, stage, verdict and kind.
const recordBytes = 10

// Offsets of the fields of a record. The first four bytes are the endpoint's ID or, in a verdict, the build.
const (
	buildByte    = 4
	stageByte    = 4 // in a verdict
	verdictByte  = 5 // in a verdict
	classByte    = 5
	kindByte     = 6
	elapsedByte  = 7 // two bytes
	inFlightByte = 9
)

// digestBytes is the size of a digest. It is not divisible by recordBytes, so that a digest is recognized by its length.
const digestBytes = 64

// gossipRecord is what an agent reports to the evaluators about an attempt or a request.
type gossipRecord struct {
	kind       recordKind
	endpointID uint32
	build      int
	class      int
	elapsed    Micros
	inFlight   float64 // requests in flight that the endpoint reports; below 0: not reported
}

// outcomeRecord returns the record of an attempt's outcome.
func outcomeRecord(outcome attemptOutcome) gossipRecord {
	return gossipRecord{
		kind:       recordKind(outcome.Outcome),
		endpointID: outcome.EndpointID,
		build:      outcome.endpoint.Build,
		class:      outcome.class,
		elapsed:    outcome.Elapsed,
		inFlight:   outcome.reportedInFlight,
	}
}

// attemptRecord returns the record of an attempt that was sent.
func attemptRecord(to Endpoint) gossipRecord {
	return gossipRecord{kind: attemptKind, endpointID: to.ID, build: to.Build}
}

// rejectionRecord returns the record of a request that was rejected or failed.
func rejectionRecord() gossipRecord { return gossipRecord{kind: rejectionKind} }

// appendTo appends the encoded record to a buffer.
func (r gossipRecord) appendTo(buffer []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, r.endpointID)
	buffer = append(buffer, byte(r.build), byte(r.class), byte(r.kind))
	elapsed := min(max(0, r.elapsed/millisecond), math.MaxUint16)
	buffer = binary.LittleEndian.AppendUint16(buffer, uint16(elapsed))
	return append(buffer, byte(min(max(0, r.inFlight+1), math.MaxUint8))) // 0: not reported
}

// encodeVerdict encodes a verdict on a stage.
func encodeVerdict(build, stage int, verdict Verdict) []byte {
	record := binary.LittleEndian.AppendUint32(nil, uint32(build))
	return append(record, byte(stage), byte(verdict), byte(verdictKind), 0, 0, 0)
}

// gossipCodec decodes the records of peers into messages to the analyzer.
type gossipCodec struct {
	*sharedState
	endpoints *endpointSet
	classes   []RequestClass
}

// decode decodes a peer's records. It skips records of endpoints and classes that this agent does not know.
func (c *gossipCodec) decode(gossip GossipReceived) (messages []message) {
	payload := gossip.Payload
	for ; len(payload) >= recordBytes; payload = payload[recordBytes:] {
		if msg := c.decodeRecord(gossip.From, payload[:recordBytes]); msg != nil {
			messages = append(messages, msg)
		}
	}
	return messages
}

func (c *gossipCodec) decodeRecord(from int, record []byte) message {
	switch recordKind(record[kindByte]) {
	case rejectionKind:
		return requestRejected{fromPeer: true}
	case verdictKind:
		return c.decodeVerdict(from, record)
	case attemptKind:
		if e := c.endpointOf(record); e != nil {
			return attemptSent{endpoint: e, fromPeer: true}
		}
		return nil
	}
	return c.decodeOutcome(record)
}

func (c *gossipCodec) decodeVerdict(from int, record []byte) message {
	return peerVerdict{
		from:       from,
		build:      int(binary.LittleEndian.Uint32(record)),
		stage:      int(record[stageByte]),
		verdict:    Verdict(record[verdictByte]),
		receivedAt: c.now,
	}
}

func (c *gossipCodec) decodeOutcome(record []byte) message {
	e := c.endpointOf(record)
	class := int(record[classByte])
	outcome := Outcome(record[kindByte])
	isKnownEndpoint := e != nil && byte(e.Build) == record[buildByte]
	if !isKnownEndpoint || class >= len(c.classes) || outcome > Malformed {
		return nil
	}
	elapsed := Micros(binary.LittleEndian.Uint16(record[elapsedByte:])) * millisecond
	return attemptOutcome{
		AttemptResult:    AttemptResult{EndpointID: e.ID, Outcome: outcome, Elapsed: elapsed},
		endpoint:         e,
		class:            class,
		latencyObjective: c.classes[class].LatencyObjective,
		fromPeer:         true,
		reportedInFlight: float64(record[inFlightByte]) - 1,
	}
}

// endpointOf returns the endpoint of a record, or nil if this agent does not know it.
func (c *gossipCodec) endpointOf(record []byte) *endpointRecord {
	return c.endpoints.byID[binary.LittleEndian.Uint32(record)]
}

// digestBit returns the position of an endpoint's bit in a digest.
func digestBit(id uint32) (index int, bit byte) {
	position := hashing.Mix64(uint64(id)) % (8 * digestBytes)
	return int(position / 8), 1 << (position % 8)
}

func setDigestBit(digest []byte, id uint32) {
	index, bit := digestBit(id)
	digest[index] |= bit
}

// hasDigestBit reports whether an endpoint's bit is set in a digest. It returns false if digest does not have the size of a digest.
func hasDigestBit(digest []byte, id uint32) bool {
	index, bit := digestBit(id)
	return len(digest) == digestBytes && digest[index]&bit != 0
}
