package policy

const (
	digestInterval = 1 * second // time between two digests of one evaluator; the evaluators take turns
	digestLifetime = 1 * second // how long a received digest is valid; four of the last five digests may be lost
)

// overloadDigest decides which endpoints all agents avoid: those with more than their share of the requests in flight. An agent
// that uses each endpoint about once a minute cannot find such endpoints by its own limits, but the evaluators see the attempts of
// all agents. A digest in use may be a second old. The analyzer calls overloadDigest at each tick.
type overloadDigest struct {
	*sharedState
	evaluators *evaluatorGroup
	endpoints  *endpointSet
	sentAt     Micros
}

// announceIfDue broadcasts a digest if this agent is an evaluator and its time to send has come, and applies the digest to
// this agent.
func (d *overloadDigest) announceIfDue() {
	if !d.evaluators.isMember || !d.evaluators.sharesInFlight || d.now < d.sentAt+digestInterval {
		return
	}
	if d.sentAt == 0 {
		position := Micros(d.evaluators.indexOf(d.evaluators.agentIndex))
		d.sentAt = d.now - digestInterval*position/evaluatorCount
		return
	}
	digest := d.encode()
	d.evaluators.broadcast(digest)
	d.sentAt = d.now
	d.endpoints.overloadDigest = digest
	d.endpoints.digestReceivedAt = d.now
}

func (d *overloadDigest) encode() []byte {
	inFlight, capacity := d.endpoints.totalLoad()
	digest := make([]byte, digestBytes)
	for _, e := range d.endpoints.all {
		if e.isReady() && e.totalInFlight > loadBound*inFlight*e.capacity()/capacity {
			setDigestBit(digest, e.ID)
		}
	}
	return digest
}
