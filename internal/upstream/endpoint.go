package upstream

import (
	"switchfork/internal/mailbox"
	"switchfork/internal/protocol"
)

// Endpoint is one server that requests are forwarded to. Its methods hand their work to the endpoint's own goroutine, the worker, in the
// order in which they are called; any goroutine may call them, and they do not block.
type Endpoint struct {
	id      uint32
	mailbox *mailbox.Mailbox[message]
}

// ID is the endpoint's number in the list.
func (e *Endpoint) ID() uint32 { return e.id }

// Update applies the latest list entry of the endpoint.
func (e *Endpoint) Update(entry protocol.ListEntry) { e.mailbox.Put(listUpdate{entry}) }

// Remove stops the endpoint once none of its attempts is in flight.
func (e *Endpoint) Remove() { e.mailbox.Put(removalRequest{}) }

// Send starts an attempt.
func (e *Endpoint) Send(attempt Attempt) { e.mailbox.Put(attemptRequest{attempt}) }

// Cancel ends an attempt that is in flight.
func (e *Endpoint) Cancel(requestID uint64) { e.mailbox.Put(cancelRequest{requestID}) }

// CheckHealth starts a health check.
func (e *Endpoint) CheckHealth() { e.mailbox.Put(healthCheckRequest{}) }

// TrimIdle closes connections that present traffic does not need.
func (e *Endpoint) TrimIdle() { e.mailbox.Put(trimRequest{}) }
