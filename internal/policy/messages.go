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
	// tick makes a component do what has become due.
	tick struct{}
	// failureStep is added to an endpoint's evidence on failures, which does not go below minRatio.
	failureStep struct{ step, minRatio float64 }
	// latenessStep is added to an endpoint's evidence on lateness, whose flooredLateness does not go below minRatio.
	latenessStep struct{ step, minRatio float64 }
	// evidenceReset makes an endpoint discard its evidence, because another build or stage is evaluated.
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
	// attemptStarted reports to an endpoint's record that this agent has sent an attempt to the endpoint.
	attemptStarted struct {
		cost             float64 // expected work in µs
		latencyObjective Micros
	}
	// attemptOutcome is the result of an attempt by this agent or by a peer, with the record of the attempt's endpoint.
	attemptOutcome struct {
		AttemptResult
		endpoint         *endpointRecord
		class            int     // -1: the request is closed or unknown
		onCanary         bool    // the endpoint's build is in evaluation
		fromPeer         bool    // the attempt was made by a peer
		reportedInFlight float64 // requests in flight that the endpoint reports; below 0: not reported
		isClientError    bool    // a server error that is more likely the tenant's fault than the endpoint's
		latencyObjective Micros
	}
)

// messageQueue holds the messages to a component, first in, first out. Its purpose is not concurrency: the router's goroutine
// empties all queues within one call of Handle. Its purpose is the order of processing. A component finishes a message before
// any component processes the messages that follow from it. Endpoint records process their messages before any other component
// makes its next decision.
type messageQueue struct {
	messages []message
	read     int
}

func (q *messageQueue) enqueue(msg message) { q.messages = append(q.messages, msg) }

// dequeue returns the oldest message, or nil if there is none.
func (q *messageQueue) dequeue() message {
	if q.read < len(q.messages) {
		msg := q.messages[q.read]
		q.read++
		return msg
	}
	q.messages, q.read = q.messages[:0], 0
	return nil
}
