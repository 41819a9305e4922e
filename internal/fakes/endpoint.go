package fakes

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// endpointIdleTimeout is how long an endpoint keeps an idle connection.
const endpointIdleTimeout = 30 * time.Second

// EndpointOptions describes an endpoint.
type EndpointOptions struct {
	Name        string
	Build       int
	Slots       int           // number of requests that the endpoint works on concurrently
	ServiceTime time.Duration // mean service time of a request at full speed
	Seed        int64         // seed of the random service times and failures
	Observer    Observer      // may be nil
	// ConnContext sets the context of each connection's requests, like the field of http.Server. If nil, the context is unchanged.
	ConnContext func(context.Context, net.Conn) context.Context
}

// Endpoint is a server on loopback that works on a limited number of requests at a time and queues others up to a limit. The service
// time of a request is random. The endpoint's speed and error rate may change while it serves.
type Endpoint struct {
	Name  string
	Build int

	listener net.Listener
	server   *http.Server
	observer Observer
	queue    *requestQueue
	work     *workload
	received atomic.Int64
	served   atomic.Int64
}

// Observer is notified of the requests of endpoints. Its methods are called from several goroutines.
type Observer interface {
	// RequestArrived is called when a request has been read in full. Its result is passed to RequestRuns.
	RequestArrived(e *Endpoint, r *http.Request) any
	// RequestRuns is called when a request has got one of the endpoint's slots, with the result of RequestArrived. It returns false if
	// one of the observed endpoints has run the request before. The request is then answered without any work.
	RequestRuns(e *Endpoint, arrival any) bool
}

// noObserver is used for endpoints without an observer.
type noObserver struct{}

func (noObserver) RequestArrived(*Endpoint, *http.Request) any { return nil }
func (noObserver) RequestRuns(*Endpoint, any) bool             { return true }

// NewEndpointAt starts an endpoint that serves a listener until Close.
func NewEndpointAt(listener net.Listener, options EndpointOptions) *Endpoint {
	e := &Endpoint{
		Name: options.Name, Build: options.Build, listener: listener, observer: options.Observer,
		queue: newRequestQueue(options.Slots),
		work:  newWorkload(options.ServiceTime, options.Seed),
	}
	if e.observer == nil {
		e.observer = noObserver{}
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: endpointIdleTimeout, ConnContext: options.ConnContext}
	go func() { _ = e.server.Serve(listener) }() // ends when Close is called
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
	if !e.queue.enter() {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.queue.leave()
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
	e.queue.acquireSlot()
	defer e.queue.releaseSlot()
	if !e.observer.RequestRuns(e, arrival) {
		return true
	}
	return e.work.do()
}

// writeBody writes a response's body. It ignores errors, which mean that the client has disconnected.
func writeBody(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// SetSlowStart begins a slow start now: the speed rises from the fraction initial to full speed over duration.
func (e *Endpoint) SetSlowStart(initial float64, duration time.Duration) {
	e.work.slowStart.Store(&slowStart{startedAt: time.Now(), initial: initial, duration: duration})
}

// SetSlowdown multiplies the service time of each request by a factor.
func (e *Endpoint) SetSlowdown(factor float64) {
	e.work.slowdownPerMille.Store(int64(perMille * factor))
}

// SetErrorShare makes a share of the requests fail.
func (e *Endpoint) SetErrorShare(share float64) { e.work.errorsPerMille.Store(int64(perMille * share)) }

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
	_ = e.server.Close() // fails if the listener is already closed
}
