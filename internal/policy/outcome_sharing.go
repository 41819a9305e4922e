package policy

const (
	batchInterval = 500 * millisecond // after which a batch goes out
	maxBatchBytes = 256 - recordBytes // from here on a batch goes out at once
)

// outcomeSharing decides when an agent sends what it saw of its attempts to the evaluators: in batches, or at once where these
// follow what is in flight. The analyzer adds records and calls it at each tick.
type outcomeSharing struct {
	*sharedState
	evaluators     *evaluatorGroup
	batch          []byte
	batchStartedAt Micros
}

// add adds a record to the batch, where there are evaluators.
func (s *outcomeSharing) add(record gossipRecord) {
	if !s.evaluators.exist() {
		return
	}
	if len(s.batch) == 0 {
		s.batchStartedAt = s.now
	}
	s.batch = record.appendTo(s.batch)
	if len(s.batch) > maxBatchBytes || s.evaluators.sharesInFlight {
		s.send()
	}
}

// sendIfDue sends a batch that has waited for its time.
func (s *outcomeSharing) sendIfDue() {
	if len(s.batch) > 0 && s.now >= s.batchStartedAt+batchInterval {
		s.send()
	}
}

func (s *outcomeSharing) send() {
	s.evaluators.sendToMembers(s.batch)
	s.batch = nil
}
