package fakes

import (
	"context"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// perMille scales the settings that are kept as whole numbers, to be read without a lock.
	perMille = 1000
	// queueLengthPerSlot of an endpoint; it rejects what comes beyond.
	queueLengthPerSlot = 8
	// endpointIdleTimeout of a connection.
	endpointIdleTimeout = 30 * time.Second
)

// Endpoint is a server on loopback that works on some requests at a time and queues others up to a bound. The work of a request
// is random with a mean. Its speed and error rate may change while it serves.
type Endpoint struct {
	Name  string
	Build int

	listener net.Listener
	server   *http.Server
	observer Observer

	slots            chan struct{}
	maxQueued        int64
	work             time.Duration // mean of a request
	inProgress       atomic.Int64  // requests queued or being worked on
	received         atomic.Int64
	served           atomic.Int64
	slowdownPerMille atomic.Int64 // of its work
	errorsPerMille   atomic.Int64 // of its requests
	slowStart        atomic.Pointer[slowStart]

	randomMu sync.Mutex
	random   *rand.Rand
}

// slowStart describes an endpoint that starts with a part of its speed, which rises evenly to the whole.
type slowStart struct {
	startedAt time.Time
	initial   float64
	duration  time.Duration
}

// Observer follows the requests of endpoints. Its methods are called from several goroutines.
type Observer interface {
	// RequestArrived is called when a request has been read in full. Its result is passed to RequestRuns.
	RequestArrived(e *Endpoint, r *http.Request) any
	// RequestRuns is called when a request's turn has come. It returns false where the endpoint's group has run the request before,
	// which is answered without any work then.
	RequestRuns(e *Endpoint, arrival any) bool
}

// noObserver is for endpoints that nobody observes.
type noObserver struct{}

func (noObserver) RequestArrived(*Endpoint, *http.Request) any { return nil }
func (noObserver) RequestRuns(*Endpoint, any) bool             { return true }

// NewEndpoint starts an endpoint on a free port.
func NewEndpoint(name string, build, slots int, work time.Duration, seed int64) (*Endpoint, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	return NewEndpointAt(listener, name, build, slots, work, seed, noObserver{}, nil), nil
}

// NewEndpointAt starts an endpoint with an observer on a listener. The function connContext may be nil; otherwise it sets the
// context of each connection's requests.
func NewEndpointAt(listener net.Listener, name string, build, slots int, work time.Duration, seed int64, observer Observer,
	connContext func(context.Context, net.Conn) context.Context,
) *Endpoint {
	e := &Endpoint{
		Name: name, Build: build, listener: listener, observer: observer,
		slots: make(chan struct{}, slots), maxQueued: int64(queueLengthPerSlot * slots), work: work,
		random: rand.New(rand.NewSource(seed)),
	}
	e.slowdownPerMille.Store(perMille)
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: endpointIdleTimeout, ConnContext: connContext}
	go func() { _ = e.server.Serve(listener) }() // it ends by Close
	return e
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ping" || r.URL.Path == "/_load" {
		writeBody(w, "ok")
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request is incomplete
	}
	e.received.Add(1)
	arrival := e.observer.RequestArrived(e, r)
	if e.inProgress.Add(1) > int64(cap(e.slots))+e.maxQueued {
		e.inProgress.Add(-1)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.inProgress.Add(-1)
	if !e.execute(arrival) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.served.Add(1)
	body := r.Header.Get("X-Request-Id") + " " + strconv.Itoa(e.Build)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writeBody(w, body)
}

// execute waits for a slot and does a request's work. It reports whether that succeeded.
func (e *Endpoint) execute(arrival any) bool {
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	if !e.observer.RequestRuns(e, arrival) {
		return true
	}
	e.randomMu.Lock()
	workFactor, errorDraw := e.random.ExpFloat64(), e.random.Int63n(perMille)
	e.randomMu.Unlock()
	slowdown := float64(e.slowdownPerMille.Load()) / perMille
	time.Sleep(time.Duration(workFactor * float64(e.work) * slowdown / e.speed()))
	return errorDraw >= e.errorsPerMille.Load()
}

// speed returns the part of its speed that the endpoint has now.
func (e *Endpoint) speed() float64 {
	start := e.slowStart.Load()
	if start == nil {
		return 1
	}
	progress := float64(time.Since(start.startedAt)) / float64(start.duration)
	return min(1, start.initial+(1-start.initial)*progress)
}

// writeBody writes a response's body. An error says that the client has gone, which is its own affair.
func writeBody(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// SetSlowStart makes the endpoint start now, with a part of its speed that is whole after a duration.
func (e *Endpoint) SetSlowStart(initial float64, duration time.Duration) {
	e.slowStart.Store(&slowStart{startedAt: time.Now(), initial: initial, duration: duration})
}

// SetSlowdown multiplies the work of each request.
func (e *Endpoint) SetSlowdown(factor float64) { e.slowdownPerMille.Store(int64(perMille * factor)) }

// SetErrorShare makes a part of the requests fail.
func (e *Endpoint) SetErrorShare(share float64) { e.errorsPerMille.Store(int64(perMille * share)) }

// Served returns the number of requests that succeeded.
func (e *Endpoint) Served() int64 { return e.served.Load() }

// Received returns the number of requests that arrived in full.
func (e *Endpoint) Received() int64 { return e.received.Load() }

// Addr returns the address on which the endpoint listens.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// ListEntry returns the endpoint's entry in the endpoint list.
func (e *Endpoint) ListEntry(health string) string {
	return ListEntry(e.Name, e.Addr(), health, e.Build)
}

// Listener returns the listener on which the endpoint serves.
func (e *Endpoint) Listener() net.Listener { return e.listener }

// Close closes the listener and all connections.
func (e *Endpoint) Close() {
	_ = e.server.Close() // it fails where the listener is closed already
}
