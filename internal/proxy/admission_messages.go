package proxy

import (
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/agent"
	"switchfork/internal/policy"
)

// admissionMessage is a message in the mailbox of an AdmissionLoop.
type admissionMessage interface{ isAdmissionMessage() }

// requestArrival asks for a request to be admitted.
type requestArrival struct {
	arrival admission.Arrival
	event   policy.RequestArrived // passed to the router once the request is admitted
	request *agent.Request
}

// attemptSent reports that the first attempt of a request is about to be sent.
type attemptSent struct{ id uint64 }

// requestFinished reports that an admitted request has its reply or was cancelled, and that none of its attempts is in flight.
type requestFinished struct {
	id     uint64
	result admission.Result
}

// retryAnswered reports that a coalesced retry has its reply or was cancelled.
type retryAnswered struct{ id uint64 }

// retryReturned is a coalesced retry that the event loop returns, because the request that it repeats has ended without a reply.
type retryReturned struct{ retry requestArrival }

// requestCancelled reports that the reply to a request is no longer needed: the client disconnected, or the drain has run out of time.
type requestCancelled struct{ id uint64 }

// drainStarted reports that a drain has started, and that no request can be answered after deadline.
type drainStarted struct{ deadline time.Time }

// weightsUpdate changes the weights of the tenants.
type weightsUpdate struct{ tenants []admission.Tenant }

// statusQuery asks for the admission loop's status.
type statusQuery struct{ reply chan<- AdmissionStatus }

// summaryRequest asks for a summary to be logged. done is closed when the summary is written.
type summaryRequest struct{ done chan<- struct{} }

func (requestArrival) isAdmissionMessage()   {}
func (attemptSent) isAdmissionMessage()      {}
func (requestFinished) isAdmissionMessage()  {}
func (retryAnswered) isAdmissionMessage()    {}
func (retryReturned) isAdmissionMessage()    {}
func (requestCancelled) isAdmissionMessage() {}
func (drainStarted) isAdmissionMessage()     {}
func (weightsUpdate) isAdmissionMessage()    {}
func (statusQuery) isAdmissionMessage()      {}
func (summaryRequest) isAdmissionMessage()   {}
