package policy

const (
	digestInterval = 1 * second // of each evaluator, in turn
	digestLifetime = 1 * second // so that four of the last five may be lost
)

// overloadDigest decides which endpoints all agents avoid: those with more than their share in flight. Where an agent meets each
// endpoint once a minute, no limit of its own can tell; the evaluators see the attempts of all. A digest may be a second old. The
// analyzer calls it at each tick.
type overloadDigest struct {
	*sharedState
	evaluators *evaluatorGroup
	endpoints  *endpointSet
	sentAt     Micros
}

// announceIfDue broadcasts a digest, as an evaluator whose turn it is, and applies it to this agent too.
func (d *overloadDigest) announceIfDue() {
	if !d.evaluators.isMember || !d.evaluators.sharesInFlight || d.now < d.sentAt+digestInterval {
		return
	}
	if d.sentAt == 0 {
		place := Micros(d.evaluators.indexOf(d.evaluators.agentIndex))
		d.sentAt = d.now - digestInterval*place/evaluatorCount
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
