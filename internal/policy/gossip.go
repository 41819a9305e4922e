package policy

import (
	"encoding/binary"
	"math"
	"slices"
)

// Agents write records of recordBytes each: endpoint, build, class, outcome, whole milliseconds, and the requests in flight
// that the endpoint reports. Where the outcome's byte is one of the kinds below, it is a record of that kind; that of a verdict
// holds build, stage and verdict.
const recordBytes, rejectedRecord, verdictRecord, sentRecord = 10, 0xff, 0xfe, 0xfd

// digestBytes is not divisible by recordBytes, so that a digest is known by its length.
const digestBytes = 64

// The places of the one-byte fields of a record.
const (
	buildByte    = 4
	stageByte    = 4 // of a verdict
	verdictByte  = 5 // of a verdict
	classByte    = 5
	outcomeByte  = 6
	elapsedByte  = 7 // two bytes
	inFlightByte = 9
)

// appendOutcome encodes an attempt's outcome.
func appendOutcome(buffer []byte, outcome attemptOutcome) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, outcome.EndpointID)
	buffer = append(buffer, byte(outcome.endpoint.Build), byte(outcome.class), byte(outcome.Outcome))
	elapsed := min(max(0, outcome.Elapsed/millisecond), math.MaxUint16)
	buffer = binary.LittleEndian.AppendUint16(buffer, uint16(elapsed))
	return append(buffer, byte(min(max(0, outcome.reportedInFlight+1), math.MaxUint8))) // 0: not reported
}

// decodeRecords decodes a peer's records. It skips those of endpoints and classes that are not known here.
func (a *releaseAnalyzer) decodeRecords(from int, payload []byte) (messages []message) {
	for ; len(payload) >= recordBytes; payload = payload[recordBytes:] {
		if msg := a.decodeRecord(from, payload[:recordBytes]); msg != nil {
			messages = append(messages, msg)
		}
	}
	return messages
}

func (a *releaseAnalyzer) decodeRecord(from int, record []byte) message {
	id, kind := binary.LittleEndian.Uint32(record), record[outcomeByte]
	switch kind {
	case rejectedRecord:
		return requestRejected{fromPeer: true}
	case verdictRecord:
		return peerVerdict{from, int(id), int(record[stageByte]), Verdict(record[verdictByte]), a.now}
	}
	e, class := a.endpoints.byID[id], int(record[classByte])
	switch {
	case e == nil:
		return nil
	case kind == sentRecord:
		return attemptSent{endpoint: e, fromPeer: true}
	case byte(e.Build) != record[buildByte] || class >= len(a.classes) || kind > byte(Malformed):
		return nil
	}
	elapsed := Micros(binary.LittleEndian.Uint16(record[elapsedByte:])) * millisecond
	return attemptOutcome{
		AttemptResult: AttemptResult{EndpointID: e.ID, Outcome: Outcome(kind), Elapsed: elapsed},
		endpoint:      e, class: class, latencyObjective: a.classes[class].LatencyObjective,
		fromPeer: true, reportedInFlight: float64(record[inFlightByte]) - 1,
	}
}

// encodeVerdict encodes this agent's verdict on the current stage.
func (a *releaseAnalyzer) encodeVerdict(verdict Verdict) []byte {
	record := binary.LittleEndian.AppendUint32(nil, uint32(a.build))
	return append(record, byte(a.stage), byte(verdict), verdictRecord, 0, 0, 0)
}

// digestBit returns the place of an endpoint's bit in a digest.
func digestBit(id uint32) (index int, bit byte) {
	place := mix64(uint64(id)) % (8 * digestBytes)
	return int(place / 8), 1 << (place % 8)
}

// hasDigestBit tells whether an endpoint's bit is set. In anything else than a digest none is.
func hasDigestBit(digest []byte, id uint32) bool {
	index, bit := digestBit(id)
	return len(digest) == digestBytes && digest[index]&bit != 0
}

// joinPanel selects the evaluators, where gossip is allowed and there are more agents than panelSize. A single agent sees too
// few outcomes, and among hundreds the one with the most extreme sample would decide.
func (a *releaseAnalyzer) joinPanel(instance Instance) {
	if instance.Agents <= panelSize {
		return
	}
	a.evaluators = selectAgents(instance.Agents, panelSize, ringSalt)
	a.sharesInFlight = instance.LoadReport.InFlight > 0
	a.isEvaluator = slices.Contains(a.evaluators, instance.Index)
	a.peerVerdicts = make([]peerVerdict, panelSize)
}

// panelIndexOf is an agent's place in the panel, -1 where it has none.
func (a *releaseAnalyzer) panelIndexOf(agent int) int { return slices.Index(a.evaluators, agent) }

// decidesItself: without a panel, or as one of it.
func (a *releaseAnalyzer) decidesItself() bool { return a.evaluators == nil || a.isEvaluator }

// panelVerdict is what a majority of the evaluators hold of this stage, as far as their messages are recent.
func (a *releaseAnalyzer) panelVerdict() (Verdict, bool) {
	var votes [Rollback + 1]int
	for _, peer := range a.peerVerdicts {
		isOfStage := peer.build == a.build && (peer.stage == a.stage || peer.verdict == Rollback)
		if isOfStage && peer.verdict <= Rollback && a.now-peer.receivedAt < verdictLifetime {
			votes[max(0, peer.verdict)]++
		}
	}
	for verdict, count := range votes {
		if 2*count > panelSize {
			return Verdict(verdict), true
		}
	}
	return NoVote, false
}

// announceVerdict broadcasts this evaluator's verdict: at once where it is new, and once a verdictInterval.
func (a *releaseAnalyzer) announceVerdict(verdict Verdict) {
	isDue := (verdict != NoVote || a.phase == Evaluating) && a.now >= a.verdictSentAt+verdictInterval
	if verdict != a.announcedVerdict || isDue {
		a.announcedVerdict, a.verdictSentAt = verdict, a.now
		a.broadcast(a.encodeVerdict(verdict))
	}
}

// sendDigest broadcasts which endpoints are overloaded, and applies the digest to this agent too.
func (a *releaseAnalyzer) sendDigest(isOverloaded func(*endpointRecord) bool) {
	digest := make([]byte, digestBytes)
	for _, e := range a.endpoints.all {
		if isOverloaded(e) {
			index, bit := digestBit(e.ID)
			digest[index] |= bit
		}
	}
	a.broadcast(digest)
	a.digestSentAt = a.now
	a.endpoints.overloadDigest, a.endpoints.digestReceivedAt = digest, a.now
}

// broadcast sends a message to all other agents.
func (a *releaseAnalyzer) broadcast(payload []byte) {
	for agent := range a.agentCount {
		if agent != a.index {
			a.emit(SendGossip{To: agent, Payload: payload})
		}
	}
}

// shareOutcome adds an outcome to the batch for the evaluators.
func (a *releaseAnalyzer) shareOutcome(outcome attemptOutcome) {
	if a.evaluators == nil || outcome.class < 0 {
		return
	}
	if len(a.outcomeBatch) == 0 {
		a.batchStartedAt = a.now
	}
	a.outcomeBatch = appendOutcome(a.outcomeBatch, outcome)
	if len(a.outcomeBatch) > maxBatchBytes || a.sharesInFlight {
		a.sendBatch()
	}
}

// sendBatch sends the collected outcomes to the evaluators.
func (a *releaseAnalyzer) sendBatch() {
	for _, agent := range a.evaluators {
		if agent != a.index {
			a.emit(SendGossip{To: agent, Payload: a.outcomeBatch})
		}
	}
	a.outcomeBatch = nil
}
