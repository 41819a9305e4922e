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

// Endpoint is a ledger appliance on loopback: so many txns at a time, so much work for each, a queue with a bound. Its
// speed and failures may change while it serves.
type Endpoint struct {
	Name   string
	Build  int
	slots  chan struct{}
	queue  int64 // that wait at the most
	held   atomic.Int64
	work   time.Duration
	slow   atomic.Int64 // per mille of its usual work
	fails  atomic.Int64 // per mille of what it gets
	served atomic.Int64
	got    atomic.Int64
	l      net.Listener
	srv    *http.Server
	mu     sync.Mutex
	chance *rand.Rand
	seen   Observer
	cold   atomic.Pointer[warmUp]
}

// warmUp is how an appliance begins: with a part of its speed, which rises evenly.
type warmUp struct {
	since time.Time
	from  float64
	span  time.Duration
}

// SetSlowStart has the appliance start now, with a part of its speed that is whole after a span.
func (a *Endpoint) SetSlowStart(from float64, span time.Duration) {
	a.cold.Store(&warmUp{time.Now(), from, span})
}

// speed is the part of its speed that it has now.
func (a *Endpoint) speed() float64 {
	c := a.cold.Load()
	if c == nil {
		return 1
	}
	return min(1, c.from+(1-c.from)*float64(time.Since(c.since))/float64(c.span))
}

// Observer sees what comes to an appliance; its calls come from several goroutines.
type Observer interface {
	// Came tells of a txn that has come whole; what it gives is handed to Runs.
	RequestArrived(a *Endpoint, r *http.Request) any
	// Runs tells of one whose turn has come. Where its group has run it before, and so drops it, the answer is false.
	RequestRuns(a *Endpoint, came any) bool
}

// unseen is for those whom nobody watches.
type unseen struct{}

func (unseen) RequestArrived(*Endpoint, *http.Request) any { return nil }
func (unseen) RequestRuns(*Endpoint, any) bool             { return true }

// NewEndpoint starts one.
func NewEndpoint(name string, build, slots int, work time.Duration, seed int64) (*Endpoint, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	return NewEndpointAt(l, name, build, slots, work, seed, unseen{}, nil), nil
}

// NewEndpointAt starts one that is watched on a listener; with, unless it is nil, marks each connection.
func NewEndpointAt(l net.Listener, name string, build, slots int, work time.Duration, seed int64, seen Observer,
	with func(context.Context, net.Conn) context.Context,
) *Endpoint {
	a := &Endpoint{
		Name: name, Build: build, slots: make(chan struct{}, slots), queue: int64(8 * slots), work: work, l: l,
		chance: rand.New(rand.NewSource(seed)), seen: seen,
	}
	a.slow.Store(1000)
	a.srv = &http.Server{Handler: http.HandlerFunc(a.serve), IdleTimeout: 30 * time.Second, ConnContext: with}
	go a.srv.Serve(l)
	return a
}

func (a *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ping" || r.URL.Path == "/_load" {
		io.WriteString(w, "ok")
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // it has not come whole
	}
	a.got.Add(1)
	came := a.seen.RequestArrived(a, r)
	if a.held.Add(1) > int64(cap(a.slots))+a.queue {
		a.held.Add(-1)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer a.held.Add(-1)
	a.slots <- struct{}{}
	if a.seen.RequestRuns(a, came) {
		a.mu.Lock()
		took, luck := a.chance.ExpFloat64(), a.chance.Int63n(1000)
		a.mu.Unlock()
		time.Sleep(time.Duration(took * float64(a.work) * float64(a.slow.Load()) / 1000 / a.speed()))
		if luck < a.fails.Load() {
			<-a.slots
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	<-a.slots
	a.served.Add(1)
	body := r.Header.Get("X-Request-Id") + " " + strconv.Itoa(a.Build)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(w, body)
}

// SetSlowdown makes each txn take so many times its work; Fail makes a share of them fail.
func (a *Endpoint) SetSlowdown(times float64)   { a.slow.Store(int64(1000 * times)) }
func (a *Endpoint) SetErrorShare(share float64) { a.fails.Store(int64(1000 * share)) }
func (a *Endpoint) Served() int64               { return a.served.Load() }
func (a *Endpoint) Received() int64             { return a.got.Load() }
func (a *Endpoint) Addr() string                { return a.l.Addr().String() }
func (a *Endpoint) ListEntry(h string) string   { return ListEntry(a.Name, a.Addr(), h, a.Build) }

// Close ends it.
func (a *Endpoint) Close() { a.srv.Close() }

// Listener is the one that it serves on.
func (a *Endpoint) Listener() net.Listener { return a.l }
