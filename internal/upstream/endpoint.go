package upstream

import (
	"fmt"
	"maps"
	"slices"

	"switchfork/internal/mailbox"
	"switchfork/internal/protocol"
)

// healthActive is the health of a list entry whose endpoint takes new attempts.
const healthActive = "active"

// Endpoint is one server that requests are forwarded to. Only the goroutine that runs serve touches the fields below mailbox.
type Endpoint struct {
	pool    *Pool
	events  Events
	id      uint32
	name    string
	mailbox *mailbox.Mailbox[message]

	process        process // as the list has it
	isDraining     bool    // it takes no new attempts
	isRemoved      bool    // it has left the list
	attempts       map[uint64]*httpExchange
	pending        int           // dials and health checks that have not ended
	idle           []*connection // sorted by idleSince; the last one is used first
	sweepScheduled bool
}

// process identifies what listens at an endpoint: an address may return with another start time or another build.
type process struct {
	address string
	bornMs  float64
	build   int
}

// serve handles messages until the endpoint is removed and nothing of it is in flight.
func (e *Endpoint) serve() {
	var messages []message
	for range e.mailbox.Ready() {
		messages = e.mailbox.Take(messages)
		for _, message := range messages {
			e.handle(message)
		}
		if e.isRemoved && len(e.attempts)+e.pending == 0 {
			e.closeIdle(0)
			return
		}
	}
}

func (e *Endpoint) handle(m message) {
	switch m := m.(type) {
	case listUpdate:
		e.update(m.entry)
	case removalRequest:
		e.remove()
	case attemptRequest:
		e.startAttempt(m.attempt)
	case cancelRequest:
		if exchange := e.attempts[m.requestID]; exchange != nil {
			e.finish(exchange, protocol.Cancelled, nil)
		}
	case healthCheckRequest:
		e.startHealthCheck()
	case deadlineTimer:
		e.timeOut(m.exchange)
	case writeTimer:
		if exchange := m.exchange; !exchange.isFinished && exchange.connection == nil {
			e.finish(exchange, protocol.NotSent, nil)
		}
	case dialResult:
		e.dialFinished(m)
	case writeResult:
		e.writeFinished(m)
	case readResult:
		e.readFinished(m)
	case trimRequest:
		e.closeIdle(TrimIdleAfter)
	case sweepTimer:
		e.sweepIdle()
	default:
		panic(fmt.Sprintf("no way to handle a message of type %T", m))
	}
}

// update applies the list's latest entry. The idle connections of a process that was replaced are closed: a request
// written to one of them would be reset.
func (e *Endpoint) update(entry protocol.ListEntry) {
	latest := process{address: entry.Dial, bornMs: entry.BornMs, build: entry.Build}
	isReplaced := latest != e.process
	e.process = latest
	e.isRemoved = false
	e.isDraining = entry.Health != healthActive
	if isReplaced {
		e.closeIdle(0)
	}
	if isReplaced || e.isDraining {
		e.abandonUnconnected()
	}
}

// remove lets attempts that are written finish and accepts no others.
func (e *Endpoint) remove() {
	e.isRemoved, e.isDraining = true, true
	e.closeIdle(0)
	e.abandonUnconnected()
}

// abandonUnconnected ends the attempts that wait for a connection. They were decided before the list changed: written when the
// connection comes up, up to a second later, they would reach a process that drains, or one of another build. They end as not sent,
// and the policy chooses an endpoint anew.
func (e *Endpoint) abandonUnconnected() {
	for _, id := range slices.Sorted(maps.Keys(e.attempts)) {
		if exchange := e.attempts[id]; exchange.connection == nil {
			e.finish(exchange, protocol.NotSent, nil)
		}
	}
}
