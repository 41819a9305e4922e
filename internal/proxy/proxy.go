package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/connlimit"
	"switchfork/internal/policy"
)

// exchangeTimeout bounds writing responses to what is no request, and the age of a request that waits in the kernel. The response to a
// request has a bound of its own.
const exchangeTimeout = time.Minute

// Config is what a Proxy is made from.
type Config struct {
	Loop    *agent.Loop
	Classes []RequestClass // a class's id is its index
	Tenants []string       // a tenant's id is its index

	// MaxOpenRequests is the number of requests that may be open where no admission loop decides.
	MaxOpenRequests int
	// MaxRetryAfter is the longest Retry-After that clients follow, 0 where they are not sent any.
	MaxRetryAfter time.Duration
	Budget        *connlimit.Budget

	// LastRequestID is the number before the first request's. The router places a request without a warm key by its number. Where all
	// agents counted from one, the n-th request of each went to the same endpoint, and hundreds that started together filled its queue.
	// So it has to differ from agent to agent and from start to start.
	LastRequestID uint64
}

// Proxy serves clients.
type Proxy struct {
	loop            *agent.Loop
	decoder         *requestDecoder
	lastRequestID   atomic.Uint64
	openRequests    atomic.Int64
	requestIDs      *requestIDSet
	maxOpenRequests int
	maxRetryAfter   policy.Micros
	budget          *connlimit.Budget
	server          *http.Server
	listener        *clientListener
	admission       *AdmissionLoop // nil: every request goes to the event loop at once
	clientKey       ClientKey

	isDraining    atomic.Bool
	drainDeadline time.Time     // set before isDraining
	drainExpired  chan struct{} // closed when the drain has run out of time
}

// New makes a proxy that does not listen yet.
func New(config Config) *Proxy {
	p := &Proxy{
		loop:            config.Loop,
		decoder:         &requestDecoder{classes: config.Classes, tenants: config.Tenants},
		requestIDs:      newRequestIDSet(),
		maxOpenRequests: config.MaxOpenRequests,
		maxRetryAfter:   config.MaxRetryAfter.Microseconds(),
		budget:          config.Budget,
		listener:        newClientListener(config.Loop, config.Budget),
		drainExpired:    make(chan struct{}),
	}
	p.lastRequestID.Store(config.LastRequestID)
	p.server = p.newServer()
	return p
}

// ClientKey says how a tenant's clients are told apart: by a header that the operator names, by the connection, or by the address.
type ClientKey struct {
	Header     string
	Connection bool
}

// UseAdmission has an admission loop decide when requests go to the event loop. It has to be called before Serve.
func (p *Proxy) UseAdmission(admission *AdmissionLoop, clientKey ClientKey) {
	p.admission = admission
	p.clientKey = clientKey
}

// Listen opens the listener for clients; the health endpoint answers as soon as Serve runs. Its error names the address.
func (p *Proxy) Listen(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	p.listener.tcp = listener.(*net.TCPListener)
	return nil
}

// Serve serves clients until Drain has ended.
func (p *Proxy) Serve() error {
	if err := p.server.Serve(p.listener); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
