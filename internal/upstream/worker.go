package upstream

import (
	"fmt"

	"switchfork/internal/mailbox"
	"switchfork/internal/protocol"
)

// worker is the state of one Endpoint's goroutine, which runs serve. Only this goroutine uses the state. Its parts:
//
//   - idlePool holds the idle connections and closes connections (idle_pool.go).
//   - inFlight tracks the attempts, health checks and dials that have not ended (in_flight.go).
//   - An httpExchange is a request and its response on a connection (exchange.go).
//   - A connection carries one exchange at a time (connection.go).
//
// The worker's own methods are grouped by the step of an exchange: its start and end (attempts.go, health_check.go), its connection
// (dial.go), and the transfer of its request and response (transfer.go).
type worker struct {
	pool    *Pool
	events  Events
	id      uint32
	name    string
	mailbox *mailbox.Mailbox[message]

	process    process // from the latest list entry
	isDraining bool    // the endpoint takes no new attempts
	isRemoved  bool    // the endpoint has left the list
	inFlight   inFlight
	idle       idlePool
}

// process identifies the server process of an endpoint. The same address may be listed again with another start time or build.
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

// serve handles messages until the endpoint is removed and has nothing in flight.
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
		panic(fmt.Sprintf("upstream: unknown message type %T", m))
	}
}

// update applies the endpoint's latest list entry. If the process was replaced, its idle connections are closed, because a request written
// to one of them would be reset.
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

// remove closes the idle connections and ends the attempts that wait for a connection. Attempts that have a connection can finish, and new
// attempts are not accepted.
func (w *worker) remove() {
	w.isRemoved, w.isDraining = true, true
	w.idle.closeAll()
	w.abandonUnconnected()
}

// abandonUnconnected ends the attempts that wait for a connection. They were decided before the list changed. When the connection comes up,
// up to a second later, their requests would reach a process that is draining or has another build. The attempts end as not sent, and the
// policy chooses an endpoint anew.
func (w *worker) abandonUnconnected() {
	for _, exchange := range w.inFlight.unconnectedAttempts() {
		w.finish(exchange, protocol.NotSent, nil)
	}
}
