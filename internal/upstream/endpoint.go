package upstream

import (
	"switchfork/internal/mailbox"
	"switchfork/internal/protocol"
)

// Endpoint sends attempts and health checks to one server. Its methods put messages into the mailbox of its worker, a goroutine that
// handles them in the order of the calls. Any goroutine may call the methods. They do not block.
type Endpoint struct {
	id      uint32
	mailbox *mailbox.Mailbox[message]
}

// ID returns the number that identifies the endpoint to the policy.
func (e *Endpoint) ID() uint32 { return e.id }

// Update applies the endpoint's latest entry in the endpoint list.
func (e *Endpoint) Update(entry protocol.ListEntry) { e.mailbox.Put(listUpdate{entry}) }

// Remove stops the endpoint once none of its attempts is in flight.
func (e *Endpoint) Remove() { e.mailbox.Put(removalRequest{}) }

// Send starts an attempt.
func (e *Endpoint) Send(attempt Attempt) { e.mailbox.Put(attemptRequest{attempt}) }

// Cancel ends an attempt that is in flight.
func (e *Endpoint) Cancel(requestID uint64) { e.mailbox.Put(cancelRequest{requestID}) }

// CheckHealth starts a health check.
func (e *Endpoint) CheckHealth() { e.mailbox.Put(healthCheckRequest{}) }

// TrimIdle closes the connections that have been idle for at least TrimIdleAfter.
func (e *Endpoint) TrimIdle() { e.mailbox.Put(trimRequest{}) }
