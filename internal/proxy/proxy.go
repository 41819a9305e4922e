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

// exchangeTimeout is the write timeout of responses that do not come from the event loop, such as those to health checks. For responses to
// forwarded requests, limitWriteTime sets another write deadline. exchangeTimeout also bounds the time that a request may have waited in
// the kernel: queueDelay ignores longer times.
const exchangeTimeout = time.Minute

// Config is the configuration of a Proxy.
type Config struct {
	Loop    *agent.Loop
	Classes []RequestClass // a class's id is its index
	Tenants []string       // a tenant's id is its index

	// MaxOpenRequests is the number of requests that may be open if there is no admission loop.
	MaxOpenRequests int
	// MaxRetryAfter is the longest Retry-After that clients honor, or 0 if the agent sends none.
	MaxRetryAfter time.Duration
	Budget        *connlimit.Budget
	Memory        *connlimit.MemoryBudget // for the requests of clients

	// LastRequestID is the ID before that of the first request. These IDs identify requests to the policy and are unrelated to
	// X-Request-Id. The router selects the endpoint of a request without a warm key by the request's ID. When the IDs of all agents started
	// at one, the n-th request of each agent went to the same endpoint, and hundreds of agents that started together filled that endpoint's
	// queue. So LastRequestID has to differ between agents and between starts of an agent.
	LastRequestID uint64
}

// Proxy serves clients.
type Proxy struct {
	loop            *agent.Loop
	decoder         *requestDecoder
	lastRequestID   atomic.Uint64
	openRequests    atomic.Int64
	pipelined       atomic.Int64 // requests that arrived before the response to the previous one was written
	unanswered      atomic.Int64 // requests that the event loop has not answered in time
	requestIDs      *requestIDSet
	maxOpenRequests int
	maxRetryAfter   policy.Micros
	budget          *connlimit.Budget
	server          *http.Server
	listener        *clientListener
	admission       *AdmissionLoop // nil: every request goes to the event loop at once
	clientKey       ClientKey

	isDraining    atomic.Bool
	drainDeadline time.Time     // when requests that are still open are answered; set before isDraining
	drainExpired  chan struct{} // closed when drainDeadline has passed
}

// New returns a proxy that does not listen yet.
func New(config Config) *Proxy {
	p := &Proxy{
		loop:            config.Loop,
		decoder:         &requestDecoder{classes: config.Classes, tenants: config.Tenants},
		requestIDs:      newRequestIDSet(),
		maxOpenRequests: config.MaxOpenRequests,
		maxRetryAfter:   config.MaxRetryAfter.Microseconds(),
		budget:          config.Budget,
		listener:        newClientListener(config.Loop, config.Budget, config.Memory),
		drainExpired:    make(chan struct{}),
	}
	p.lastRequestID.Store(config.LastRequestID)
	p.server = p.newServer()
	return p
}

// ClientKey selects what identifies a client within its tenant: the value of Header if that is set, or else the connection if Connection
// is set, or else the IP address.
type ClientKey struct {
	Header     string
	Connection bool
}

// UseAdmission sets an admission loop, which decides when requests go to the event loop. It has to be called before Serve.
func (p *Proxy) UseAdmission(admission *AdmissionLoop, clientKey ClientKey) {
	p.admission = admission
	p.clientKey = clientKey
}

// Listen opens the listener for clients. The health endpoint answers as soon as Serve runs. The error names the address.
func (p *Proxy) Listen(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	p.listener.tcp = listener.(*net.TCPListener)
	return nil
}

// Serve serves clients until Drain has closed the listener.
func (p *Proxy) Serve() error {
	if err := p.server.Serve(p.listener); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
