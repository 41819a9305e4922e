package policy

const (
	batchInterval = 500 * millisecond // age at which a batch is sent
	maxBatchBytes = 256 - recordBytes // a longer batch is sent at once
)

// outcomeSharing decides when an agent sends records of its attempts and requests to the evaluators: in batches, or at once where
// the evaluators count the requests in flight. The analyzer adds records and calls sendIfDue at each tick.
type outcomeSharing struct {
	*sharedState
	evaluators     *evaluatorGroup
	batch          []byte
	batchStartedAt Micros
}

// add adds a record to the batch, if there are evaluators.
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

// sendIfDue sends the batch if it has reached batchInterval.
func (s *outcomeSharing) sendIfDue() {
	if len(s.batch) > 0 && s.now >= s.batchStartedAt+batchInterval {
		s.send()
	}
}

func (s *outcomeSharing) send() {
	s.evaluators.sendToMembers(s.batch)
	s.batch = nil
}
