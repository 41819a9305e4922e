package policy

// component is a part of the router that takes messages one after the other.
type component interface {
	enqueue(message)
	dequeue() message
	receive(message)
}

// message is an event, or one of the types below, which components send to each other.
type message any

type (
	// tick has a component look at the time.
	tick struct{}
	// failureStep moves an endpoint's evidence on failures, not below minRatio.
	failureStep struct{ step, minRatio float64 }
	// latenessStep moves an endpoint's evidence on lateness; what is floored does not go below minRatio.
	latenessStep struct{ step, minRatio float64 }
	// evidenceReset tells an endpoint that another build or stage is evaluated: its evidence starts afresh.
	evidenceReset struct{}
	// peerVerdict is an evaluator's verdict on a build.
	peerVerdict struct {
		from       int
		build      int
		stage      int
		verdict    Verdict
		receivedAt Micros
	}
	// attemptSent reports an attempt by this agent or by a peer.
	attemptSent struct {
		endpoint *endpointRecord
		fromPeer bool
	}
	// requestRejected reports a request that this agent or a peer rejected or failed.
	requestRejected struct{ fromPeer bool }
	// attemptStarted reports an attempt by this agent to its endpoint.
	attemptStarted struct {
		cost             float64 // µs of work that is expected
		latencyObjective Micros
	}
	// attemptOutcome is an attempt's result, by this agent or by a peer, with the record of its endpoint.
	attemptOutcome struct {
		AttemptResult
		endpoint         *endpointRecord
		class            int     // -1: the request is over and forgotten
		onCanary         bool    // its build is in evaluation
		fromPeer         bool    // a peer had it
		reportedInFlight float64 // requests that the endpoint reports; below 0: it does not report them
		isClientError    bool    // an error is more likely the tenant's than the endpoint's
		latencyObjective Micros
	}
)

// messageQueue holds the messages to a component, first in, first out. It is not for concurrency: the router's goroutine empties all
// queues within one call of Handle. It keeps an order: a component finishes a message before what follows from it is
// processed, by itself or by another, and endpoints take in theirs before any component decides again.
type messageQueue struct {
	messages []message
	read     int
}

func (q *messageQueue) enqueue(msg message) { q.messages = append(q.messages, msg) }

// dequeue returns the oldest message, or nil where there is none.
func (q *messageQueue) dequeue() message {
	if q.read < len(q.messages) {
		msg := q.messages[q.read]
		q.read++
		return msg
	}
	q.messages, q.read = q.messages[:0], 0
	return nil
}
