package admission

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint is a cryptographic hash of a part of a request. Requests with equal fingerprints are equal in that part: no client can make a
// request that has the fingerprint of another.
type Fingerprint [sha256.Size]byte

// short returns the first bytes of a fingerprint, for a key that is not compared any further.
func (f Fingerprint) short() uint64 { return binary.LittleEndian.Uint64(f[:]) }

// Arrival describes a request that has just arrived.
type Arrival struct {
	ID       uint64
	Tenant   int    // index into Config.Tenants; all other indices count as one unknown tenant
	Client   uint64 // hash of the client's identity
	Class    int    // index into Config.Classes
	Key      uint64 // hash of the idempotency key, or of the object that the request concerns; 0 if it has neither
	IsRetry  bool   // the client marked the request as a retry
	CostHint Micros // the client's estimate of the work; 0 if it gave none
	Deadline Micros
	Bytes    int // size of the body

	Content Fingerprint // of the method, the target and the body
	Headers Fingerprint // of the headers that an endpoint may read and that are equal in all attempts
}

// sharesAnswer reports whether the answer to an attempt is also the answer to another one with the same retry key.
func (a *Arrival) sharesAnswer(other *Arrival) bool {
	return a.Content == other.Content && a.Headers == other.Headers
}

// Result says how an admitted request ended.
type Result int

const (
	// Succeeded means that the client got an answer.
	Succeeded Result = iota
	// Rejected means that the dispatcher found no endpoint that accepted the request.
	Rejected
	// Failed means that the request was attempted, but no attempt brought an answer for the client.
	Failed
	// ClientGone means that the client no longer waits for the answer.
	ClientGone
	resultCount
)

// requestState is the state of a tracked request.
type requestState int8

const (
	stateWaiting    requestState = iota // in a queue
	stateFollowing                      // a retry that waits for an earlier attempt in progress to finish
	stateInProgress                     // admitted, not finished
)

// trackedRequest is the controller's record of one request, from its arrival until it is answered. The controller owns its
// fields, except those that are marked as owned by another component.
type trackedRequest struct {
	Arrival
	state        requestState
	retryKey     uint64  // equal for all attempts of one request
	cost         float64 // work, in microseconds
	firstArrival Micros  // arrival time of the first attempt; a retry that replaces a queued attempt inherits it
	waitDeadline Micros  // the request is rejected if it is not admitted by then
	admittedAt   Micros
	isSent       bool // the dispatcher has sent the request to an endpoint

	queuePlace queuePlace      // owned by fairQueues
	wheelPlace wheelPlace      // owned by timingWheel
	follower   *trackedRequest // the retry that waits for this request to finish; owned by waitingRequests
	leader     *trackedRequest // the client's earlier attempt of the request, for which this retry waits; owned by waitingRequests
}
