package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/agent"
	"switchfork/internal/connlimit"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"

	"golang.org/x/sys/unix"
)

// Proxy serves clients.
type Proxy struct {
	loop            *agent.Loop
	reader          *requestReader
	lastRequestID   atomic.Uint64
	openRequests    atomic.Int64
	maxOpenRequests int // open txns that are told
	// holdOff is the longest wait that clients follow, 0 where they are not told any
	maxRetryAfter policy.Micros
	budget        *connlimit.Budget
	server        *http.Server
	listener      *clientListener
	gate          *AdmissionGate // nil: no door
	clientKey     ClientKey
	isDraining    atomic.Bool
	drainDeadline time.Time     // of the drain; set before drains
	drainExpired  chan struct{} // closed when the drain has run out
	requestIDs    requestIDSet
}

// exchangeTimeout bounds the answers to what is no txn, and how old a request can be that waits in the system; a txn's answer has a bound of
// its own.
const exchangeTimeout = time.Minute

// requestIDSet are those of the open txns. A second request under one of them would be a copy to an appliance, and could be
// handed the other's answer.
type requestIDSet struct {
	mu       sync.Mutex
	reserved map[string]bool
}

func (i *requestIDSet) reserve(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.reserved[id] {
		return false
	}
	i.reserved[id] = true
	return true
}

func (i *requestIDSet) release(id string) {
	i.mu.Lock()
	delete(i.reserved, id)
	i.mu.Unlock()
}

// errorLogWriter takes what the standard library would log, one line a second: clients can cause any number.
type errorLogWriter struct{}

func (errorLogWriter) Write(line []byte) (int, error) {
	ratelog.Warn("server", "clients' server", "says", strings.TrimSpace(string(line)))
	return len(line), nil
}

// New reads requests by the products' names, effects and expiries and the customers' names; most is
// the number of txns that it may have open, holdOff the longest wait that clients follow, first the number before its
// first txn's. The module places a txn without a warm key by its number. Where all agents counted from one, the n-th txn of
// each went to one and the same appliance, and hundreds that started together filled its queue. It must differ from agent
// to agent and from start to start, and costs nothing.
func New(core *agent.Loop, names []string, effects []policy.Idempotency, expiry []time.Duration, customers []string,

	most int, holdOff time.Duration, purse *connlimit.Budget, first uint64,
) *Proxy {
	f := &Proxy{loop: core, maxOpenRequests: most, maxRetryAfter: holdOff.Microseconds(), budget: purse, reader: &requestReader{names, effects, expiry, customers}}
	f.requestIDs.reserved = map[string]bool{}
	f.drainExpired = make(chan struct{})
	f.lastRequestID.Store(first)
	quiet := log.New(errorLogWriter{}, "", 0)
	proxy := &httputil.ReverseProxy{
		Transport: f, ErrorLog: quiet, ErrorHandler: f.failed,
		Rewrite: func(r *httputil.ProxyRequest) { r.Out.Host = r.In.Host }, BufferPool: &bufferPool{},
		ModifyResponse: func(r *http.Response) error {
			if f.listener.isClientWaiting.CompareAndSwap(true, false) || f.isDraining.Load() {
				r.Header.Set("Connection", "close")
			}
			return nil
		},
	}
	f.listener = newClientListener(core, purse)
	f.server = &http.Server{
		ErrorLog: quiet, WriteTimeout: exchangeTimeout, MaxHeaderBytes: protocol.HeadLimit, ConnState: f.listener.connStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if f.isDraining.Load() {
				w.Header().Set("Connection", "close")
			}
			// A class may have the path's name: its requests have ids.
			if r.URL.Path == "/_health" && r.Header.Get("X-Request-Id") == "" {
				f.health(w)
				return
			}
			if len(r.TransferEncoding) > 0 {
				// Clients send lengths. Where both stand the library follows the chunks and drops the length, and what
				// another reader takes for the body's rest would pass as the next request. Nothing behind it is read.
				w.Header().Set("Connection", "close")
				http.Error(w, "a body needs a Content-Length and no Transfer-Encoding", http.StatusLengthRequired)
				ratelog.Warn("request411", "request turned away", "status", http.StatusLengthRequired)
				return
			}
			// The path goes on as it came, also where the proxy would tidy it.
			proxy.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), targetKey{}, r.RequestURI)))
		}),
	}
	return f
}

// ClientKey tells a tenant's clients apart: by a header of the operator's, by the connection, or by the address.
type ClientKey struct {
	Header     string
	Connection bool
}

// UseAdmission puts a door before the module. It is to be called before Serve.
func (f *Proxy) UseAdmission(gate *AdmissionGate, who ClientKey) { f.gate, f.clientKey = gate, who }

// client is who asks, as a number.
func (f *Proxy) client(r *http.Request) uint64 {
	if f.clientKey.Header != "" {
		return protocol.Hash64(r.Header.Get(f.clientKey.Header))
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil && !f.clientKey.Connection {
		return protocol.Hash64(host)
	}
	return protocol.Hash64(r.RemoteAddr)
}

type connKey struct{}

// queueDelay is how long ago a request's last byte came in, by the kernel's count: one that stood in a queue while the
// agent was short of time or descriptors has that much less left. Where the kernel can't tell, it is none.
func queueDelay(r *http.Request) (ago time.Duration) {
	c, is := r.Context().Value(connKey{}).(syscall.Conn)
	if !is {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && time.Duration(info.Last_data_recv)*time.Millisecond < exchangeTimeout {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return ago
}

// bufferPool lends ReverseProxy its copy buffers: an own one for each answer was a tenth of the agent's time.
type bufferPool struct{ sync.Pool }

const bufferSize = 4 << 10 // most bodies fit

func (b *bufferPool) Get() []byte {
	if buf, is := b.Pool.Get().(*[bufferSize]byte); is {
		return buf[:]
	}
	return make([]byte, bufferSize)
}

func (b *bufferPool) Put(buf []byte) { b.Pool.Put((*[bufferSize]byte)(buf)) }

type targetKey struct{}

func (f *Proxy) health(w http.ResponseWriter) {
	if f.isDraining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// RoundTrip is a txn's way through the agent.
func (f *Proxy) RoundTrip(r *http.Request) (*http.Response, error) {
	target, _ := r.Context().Value(targetKey{}).(string)
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	o, bad := f.reader.read(r, target)
	if bad != nil {
		return f.turnAway(r, bad)
	}
	body, err := protocol.ReadBody(r.Body, r.ContentLength)
	switch {
	case errors.Is(err, protocol.ErrBodyTooLong):
		return f.turnAway(r, &requestError{http.StatusRequestEntityTooLarge, err.Error()})
	case err != nil:
		return nil, err // the client has gone, or takes too long
	}
	if c, is := r.Context().Value(connKey{}).(*clientConn); is {
		c.requestReceived()
	}
	at := time.Now().Add(-queueDelay(r))
	defer f.openRequests.Add(-1)
	if n, most := f.openRequests.Add(1), min(f.maxOpenRequests, f.budget.MaxRequests()); f.gate == nil && n > int64(most) {
		ratelog.Warn("open", "no room for another txn", "most", most)
		// As over the told cap: sent back before the module has it. It is a jam, so no one should be back soon.
		return replyResponse(agent.Reply{Rejected: true, RetryAfter: f.maxRetryAfter}, r), nil
	}
	name := r.Header.Get("X-Request-Id")
	if !f.requestIDs.reserve(name) {
		return f.turnAway(r, &requestError{http.StatusConflict, "X-Request-Id is that of an open txn"})
	}
	for _, h := range protocol.HopHeaders {
		r.Header.Del(h)
	}
	if r.Header.Get("User-Agent") == "" {
		r.Header.Del("User-Agent")
	}
	t := agent.NewRequest(protocol.EncodeRequest(r.Method, target, r.Host, r.Header, body), at.Add(o.timeout), func() { f.requestIDs.release(name) })
	if f.isDraining.Load() && t.Deadline.After(f.drainDeadline) {
		t.Deadline = f.drainDeadline // nobody is there to answer it later
	}
	id := f.lastRequestID.Add(1)
	taken := policy.RequestArrived{
		ID: id, Class: o.class, Tenant: o.tenant, Key: o.key,
		Deadline: f.loop.Clock().At(t.Deadline), CostHint: o.costHint, IsRetry: o.isRetry,
	}
	leave := func() { f.loop.Post(policy.RequestCancelled{RequestID: id}) }
	if f.gate == nil {
		f.loop.Admit(taken, t)
	} else {
		taken.ArrivedAt = f.loop.Clock().At(at)
		leave = func() { f.gate.mailbox.Put(requestCancelled{id}) }
		f.gate.mailbox.Put(requestArrival{admission.Arrival{
			ID: id, Tenant: o.tenant, Client: f.client(r), Class: o.class, Key: o.retryKey,
			IsRetry: o.isRetry, CostHint: o.costHint, Deadline: taken.Deadline, Bytes: len(t.Encoded.Head) + len(body),
		}, taken, t})
	}
	// Who has not taken its answer some time after it stopped waiting holds a descriptor for nothing; before, it has its time, however
	// long that is: the library's own bound counts from the request.
	defer func() {
		if c, is := r.Context().Value(connKey{}).(*clientConn); is {
			last := time.Now()
			if t.Deadline.After(last) {
				last = t.Deadline
			}
			c.SetWriteDeadline(last.Add(requestTimeout))
		}
	}()
	select {
	case said := <-t.Replies():
		return replyResponse(said, r), nil
	case <-r.Context().Done():
		leave()
		return nil, r.Context().Err()
	case <-f.drainExpired:
		leave()
		return replyResponse(agent.Reply{}, r), nil
	}
}

// turnAway answers what is no txn; the module never hears of it.
func (f *Proxy) turnAway(r *http.Request, bad *requestError) (*http.Response, error) {
	ratelog.Warn("request"+strconv.Itoa(bad.status), "request turned away", "status", bad.status, "why", bad.reason)
	return respond(r, bad.status, "text/plain; charset=utf-8", []byte(bad.reason+"\n")), nil
}

// replyResponse puts a final answer into the protocol's words.
func replyResponse(a agent.Reply, r *http.Request) *http.Response {
	switch {
	case a.Response != nil:
		return respond(r, a.Response.Status, a.Response.ContentType, a.Response.Body)
	case a.Rejected:
		res := respond(r, http.StatusServiceUnavailable, "text/plain; charset=utf-8", []byte("declined; a repeat does no harm\n"))
		if a.RetryAfter > 0 {
			res.Header.Set("Retry-After", strconv.FormatFloat(float64(a.RetryAfter)/1e6, 'f', 3, 64))
		}
		return res
	}
	return respond(r, http.StatusGatewayTimeout, "text/plain; charset=utf-8", []byte("voided\n"))
}

func respond(r *http.Request, status int, kind string, body []byte) *http.Response {
	h := http.Header{"Content-Length": {strconv.Itoa(len(body))}}
	if kind != "" {
		h.Set("Content-Type", kind)
	}
	return &http.Response{
		StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Request: r,
	}
}

// failed is for a client that went away, or whose body could not be read.
func (f *Proxy) failed(w http.ResponseWriter, r *http.Request, err error) {
	if r.Context().Err() == nil {
		ratelog.Warn("body", "request not read", "err", err)
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusBadRequest)
}

// Listen opens the door to clients; health answers from here on.
func (f *Proxy) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	f.listener.tcp = l.(*net.TCPListener)
	return nil
}

// Serve takes clients until Drain has ended.
func (f *Proxy) Serve() error {
	if err := f.server.Serve(f.listener); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// lateArrivalWindow is the protocol's: new connections and what was on its way still come for so long after SIGTERM.
const lateArrivalWindow = 700 * time.Millisecond

// finalReplyWindow is how long before the end of a drain what is still open is answered: time enough to write it.
const finalReplyWindow = 100 * time.Millisecond

// Drain takes what still comes, closes each connection with its answer, or at once where it carries no request, and returns when no client
// is there any more. What is open when its time has nearly run out is answered then, as nobody will be there to do it later. The
// library's own Shutdown is not used: it closes connections of which half a head has been read, and drops a request that was
// read whole after it began, with no answer.
func (f *Proxy) Drain(ctx context.Context) error {
	f.drainDeadline = time.Now().Add(time.Hour)
	if until, is := ctx.Deadline(); is {
		f.drainDeadline = until.Add(-finalReplyWindow)
	}
	f.isDraining.Store(true)
	f.listener.startDrain()
	if f.gate != nil {
		f.gate.mailbox.Put(drainStarted{f.drainDeadline})
	}
	runsOut := time.NewTimer(time.Until(f.drainDeadline))
	defer runsOut.Stop()
	still := time.NewTimer(lateArrivalWindow)
	defer still.Stop()
	for {
		select {
		case <-still.C:
			f.listener.closeWhenEmpty()
		case <-runsOut.C:
			close(f.drainExpired)
		case <-f.listener.closed:
			return nil
		case <-ctx.Done():
			f.listener.shutdown()
			return ctx.Err()
		}
	}
}
