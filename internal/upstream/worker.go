package upstream

import (
	"fmt"

	"switchfork/internal/mailbox"
	"switchfork/internal/protocol"
)

// worker is the goroutine of one Endpoint and the state that only it touches. Its parts:
//
//   - idlePool has the idle connections and closes connections (idle_pool.go).
//   - inFlight has the attempts and counts what else has not ended (in_flight.go).
//   - An httpExchange is a request and its response on a connection (exchange.go).
//   - A connection carries one exchange at a time (connection.go).
//
// The worker's own methods stand by the step of an exchange: its start and end (attempts.go, health_check.go), its connection (dial.go),
// and the request and response on it (transfer.go).
type worker struct {
	pool    *Pool
	events  Events
	id      uint32
	name    string
	mailbox *mailbox.Mailbox[message]

	process    process // as the list has it
	isDraining bool    // it takes no new attempts
	isRemoved  bool    // it has left the list
	inFlight   inFlight
	idle       idlePool
}

// process identifies what listens at an endpoint: an address may return with another start time or another build.
type process struct {
	address     string
	startedAtMs float64
	build       int
}

func newWorker(pool *Pool, endpoint *Endpoint, name string, events Events) *worker {
	return &worker{
		pool:     pool,
		events:   events,
		id:       endpoint.id,
		name:     name,
		mailbox:  endpoint.mailbox,
		inFlight: newInFlight(),
		idle: idlePool{
			config:       &pool.config,
			requestSweep: func() { endpoint.mailbox.Put(sweepTimer{}) },
		},
	}
}

// serve handles messages until the endpoint is removed and nothing of it is in flight.
func (w *worker) serve() {
	var messages []message
	for range w.mailbox.Ready() {
		messages = w.mailbox.Take(messages)
		for _, message := range messages {
			w.handle(message)
		}
		if w.isRemoved && w.inFlight.isEmpty() {
			w.idle.closeAll()
			return
		}
	}
}

func (w *worker) handle(m message) {
	switch m := m.(type) {
	case listUpdate:
		w.update(m.entry)
	case removalRequest:
		w.remove()
	case attemptRequest:
		w.startAttempt(m.attempt)
	case cancelRequest:
		w.cancelAttempt(m.requestID)
	case healthCheckRequest:
		w.startHealthCheck()
	case deadlineTimer:
		w.timeOut(m.exchange)
	case writeTimer:
		w.expireUnconnected(m.exchange)
	case dialResult:
		w.dialFinished(m)
	case writeResult:
		w.writeFinished(m)
	case readResult:
		w.readFinished(m)
	case trimRequest:
		w.idle.closeIdleFor(TrimIdleAfter)
	case sweepTimer:
		w.idle.sweep()
	default:
		panic(fmt.Sprintf("no way to handle a message of type %T", m))
	}
}

// update applies the list's latest entry. The idle connections of a process that was replaced are closed: a request
// written to one of them would be reset.
func (w *worker) update(entry protocol.ListEntry) {
	latest := process{address: entry.Address, startedAtMs: entry.StartedAtMs, build: entry.Build}
	isReplaced := latest != w.process
	w.process = latest
	w.isRemoved = false
	w.isDraining = entry.Health != protocol.HealthActive
	if isReplaced {
		w.idle.closeAll()
	}
	if isReplaced || w.isDraining {
		w.abandonUnconnected()
	}
}

// remove lets attempts that are written finish and accepts no others.
func (w *worker) remove() {
	w.isRemoved, w.isDraining = true, true
	w.idle.closeAll()
	w.abandonUnconnected()
}

// abandonUnconnected ends the attempts that wait for a connection. They were decided before the list changed: written when the
// connection comes up, up to a second later, they would reach a process that drains, or one of another build. They end as not sent,
// and the policy chooses an endpoint anew.
func (w *worker) abandonUnconnected() {
	for _, exchange := range w.inFlight.unconnectedAttempts() {
		w.finish(exchange, protocol.NotSent, nil)
	}
}
