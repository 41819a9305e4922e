package sockets

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

	"golang.org/x/sys/unix"

	"switchfork/brain"
	"switchfork/door"
)

// This file owns the clients' side: httputil.ReverseProxy before a RoundTripper that hands each txn to the module's
// actor and waits for its one answer; health; the drain. It must never send to an appliance or word an answer of
// its own for a txn that the module has.

// Front serves clients.
type Front struct {
	core   *Core
	count  *counter
	lastID atomic.Uint64
	open   atomic.Int64
	most   int // open txns that are told
	// holdOff is the longest wait that clients follow, 0 where they are not told any
	holdOff brain.Micros
	purse   *Purse
	server  *http.Server
	porch   *porch
	gate    *Gate // nil: no door
	who     WhoAsks
	drains  atomic.Bool
	ids     ids
}

// A client has headWait for a request's head, counted from its coming, and sendWait for the whole: both well inside
// the 3 s in which who says nothing, or half of something, is owed a close. idleWait is the told time after which a
// connection without a request may go: who asks once and stays for good holds nothing longer. exchangeWait is far over
// any expiry.
const headWait, sendWait, idleWait, exchangeWait = 1500 * time.Millisecond, 2 * time.Second, 2 * time.Second, time.Minute

// headLimit holds any head of the protocol many times over; hundreds of endless ones must fit into the least memory.
const headLimit = 8 << 10

// ids are those of the open txns. A second request under one of them would be a copy to an appliance, and could be
// handed the other's answer.
type ids struct {
	mu   sync.Mutex
	open map[string]bool
}

func (i *ids) take(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.open[id] {
		return false
	}
	i.open[id] = true
	return true
}

func (i *ids) free(id string) {
	i.mu.Lock()
	delete(i.open, id)
	i.mu.Unlock()
}

// grumble takes what the standard library would log, one line a second: clients can cause any number.
type grumble struct{}

func (grumble) Write(line []byte) (int, error) {
	complaints.warn("server", "clients' server", "says", strings.TrimSpace(string(line)))
	return len(line), nil
}

// NewFront reads requests by the products' names, effects and expiries and the customers' names; most is
// the number of txns that it may have open, holdOff the longest wait that clients follow, first the number before its
// first txn's. The module places a txn without a warm key by its number. Where all agents counted from one, the n-th txn of
// each went to one and the same appliance, and hundreds that started together filled its queue. It must differ from agent
// to agent and from start to start, and costs nothing.
func NewFront(core *Core, names []string, effects []brain.Effect, expiry []time.Duration, customers []string,
	most int, holdOff time.Duration, purse *Purse, first uint64) *Front {
	f := &Front{core: core, most: most, holdOff: holdOff.Microseconds(), purse: purse, count: &counter{names, effects, expiry, customers}}
	f.ids.open = map[string]bool{}
	f.lastID.Store(first)
	quiet := log.New(grumble{}, "", 0)
	proxy := &httputil.ReverseProxy{Transport: f, ErrorLog: quiet, ErrorHandler: f.failed,
		Rewrite: func(r *httputil.ProxyRequest) { r.Out.Host = r.In.Host }, BufferPool: &buffers{},
		ModifyResponse: func(r *http.Response) error {
			if f.porch.waits.CompareAndSwap(true, false) {
				r.Header.Set("Connection", "close")
			}
			return nil
		}}
	f.porch = newPorch(core, purse)
	f.server = &http.Server{ErrorLog: quiet, ReadHeaderTimeout: headWait, ReadTimeout: sendWait,
		WriteTimeout: exchangeWait, IdleTimeout: idleWait, MaxHeaderBytes: headLimit, ConnState: f.porch.state,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/_health" {
				f.health(w)
				return
			}
			if len(r.TransferEncoding) > 0 {
				// Clients send lengths. Where both stand the library follows the chunks and drops the length, and what
				// another reader takes for the body's rest would pass as the next request. Nothing behind it is read.
				w.Header().Set("Connection", "close")
				http.Error(w, "a body needs a Content-Length and no Transfer-Encoding", http.StatusLengthRequired)
				complaints.warn("request411", "request turned away", "status", http.StatusLengthRequired)
				return
			}
			// The path goes on as it came, also where the proxy would tidy it.
			proxy.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), targetKey{}, r.RequestURI)))
		})}
	return f
}

// WhoAsks tells a tenant's clients apart: by a header of the operator's, by the connection, or by the address.
type WhoAsks struct {
	Header     string
	Connection bool
}

// Behind puts a door before the module. It is to be called before Serve.
func (f *Front) Behind(gate *Gate, who WhoAsks) { f.gate, f.who = gate, who }

// client is who asks, as a number.
func (f *Front) client(r *http.Request) uint64 {
	if f.who.Header != "" {
		return hash64(r.Header.Get(f.who.Header))
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil && !f.who.Connection {
		return hash64(host)
	}
	return hash64(r.RemoteAddr)
}

type connKey struct{}

// waited is how long ago a request's last byte came in, by the kernel's count: one that stood in a queue while the
// agent was short of time or descriptors has that much less left. Where the kernel can't tell, it is none.
func waited(r *http.Request) (ago time.Duration) {
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
		if err == nil && time.Duration(info.Last_data_recv)*time.Millisecond < exchangeWait {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return ago
}

// buffers lends ReverseProxy its copy buffers: an own one for each answer was a tenth of the agent's time.
type buffers struct{ sync.Pool }

const bufferSize = 4 << 10 // most bodies fit

func (b *buffers) Get() []byte {
	if buf, is := b.Pool.Get().(*[bufferSize]byte); is {
		return buf[:]
	}
	return make([]byte, bufferSize)
}

func (b *buffers) Put(buf []byte) { b.Pool.Put((*[bufferSize]byte)(buf)) }

type targetKey struct{}

func (f *Front) health(w http.ResponseWriter) {
	if f.drains.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// RoundTrip is a txn's way through the agent.
func (f *Front) RoundTrip(r *http.Request) (*http.Response, error) {
	target, _ := r.Context().Value(targetKey{}).(string)
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	o, bad := f.count.read(r, target)
	if bad != nil {
		return f.turnAway(r, bad)
	}
	body, err := readBody(r.Body, r.ContentLength)
	switch {
	case errors.Is(err, errTooLong):
		return f.turnAway(r, &fault{http.StatusRequestEntityTooLarge, err.Error()})
	case err != nil:
		return nil, err // the client has gone, or takes too long
	}
	if c, is := r.Context().Value(connKey{}).(net.Conn); is {
		c.SetReadDeadline(time.Time{}) // it has sent all; what it waits for now takes its own time
	}
	at := time.Now().Add(-waited(r))
	defer f.open.Add(-1)
	if n, most := f.open.Add(1), min(f.most, f.purse.Txns()); f.gate == nil && n > int64(most) {
		complaints.warn("open", "no room for another txn", "most", most)
		// As over the told cap: sent back before the module has it. It is a jam, so no one should be back soon.
		return reply{refused: true, holdOff: f.holdOff}.response(r), nil
	}
	name := r.Header.Get("X-Request-Id")
	if !f.ids.take(name) {
		return f.turnAway(r, &fault{http.StatusConflict, "X-Request-Id is that of an open txn"})
	}
	for _, h := range ownHeaders {
		r.Header.Del(h)
	}
	if r.Header.Get("User-Agent") == "" {
		r.Header.Del("User-Agent")
	}
	t := &open{parcel: pack(r.Method, target, r.Host, r.Header, body), reply: make(chan reply, 1), expires: at.Add(o.wait), done: func() { f.ids.free(name) }}
	id := f.lastID.Add(1)
	taken := brain.Taken{ID: id, Product: o.product, Customer: o.customer, Key: o.key,
		Expires: f.core.clock.at(t.expires), Work: o.work, Repeat: o.repeat}
	leave := func() { f.core.box.put(brain.Abandoned{ID: id}) }
	if f.gate == nil {
		f.core.box.put(arrived{taken, t})
	} else {
		taken.Came = f.core.clock.at(at)
		leave = func() { f.gate.box.put(left{id}) }
		f.gate.box.put(knock{door.Arrival{ID: id, Tenant: o.customer, Client: f.client(r), Product: o.product, Key: o.mark,
			Repeat: o.repeat, Work: o.work, Expires: taken.Expires, Bytes: len(t.parcel.head) + len(body)}, taken, t})
	}
	select {
	case said := <-t.reply:
		return said.response(r), nil
	case <-r.Context().Done():
		leave()
		return nil, r.Context().Err()
	}
}

// turnAway answers what is no txn; the module never hears of it.
func (f *Front) turnAway(r *http.Request, bad *fault) (*http.Response, error) {
	complaints.warn("request"+strconv.Itoa(bad.status), "request turned away", "status", bad.status, "why", bad.why)
	return respond(r, bad.status, "text/plain; charset=utf-8", []byte(bad.why+"\n")), nil
}

// response puts a final answer into the protocol's words.
func (a reply) response(r *http.Request) *http.Response {
	switch {
	case a.settled != nil:
		return respond(r, a.settled.status, a.settled.kind, a.settled.body)
	case a.refused:
		res := respond(r, http.StatusServiceUnavailable, "text/plain; charset=utf-8", []byte("declined; a repeat does no harm\n"))
		if a.holdOff > 0 {
			res.Header.Set("Retry-After", strconv.FormatFloat(float64(a.holdOff)/1e6, 'f', 3, 64))
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
	return &http.Response{StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Request: r}
}

// failed is for a client that went away, or whose body could not be read.
func (f *Front) failed(w http.ResponseWriter, r *http.Request, err error) {
	if r.Context().Err() == nil {
		complaints.warn("body", "request not read", "err", err)
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusBadRequest)
}

// Listen opens the door to clients; health answers from here on.
func (f *Front) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	f.porch.Listener = l
	return nil
}

// Serve takes clients until Drain has ended.
func (f *Front) Serve() error {
	if err := f.server.Serve(f.porch); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// comeStill is the protocol's: new connections and what was on its way still come for so long after SIGTERM.
const comeStill = 700 * time.Millisecond

// Drain takes what still comes, closes connections with their answers, and returns when all taken has its answer.
func (f *Front) Drain(ctx context.Context) error {
	f.drains.Store(true)
	f.server.SetKeepAlivesEnabled(false)
	if until, is := ctx.Deadline(); is && f.gate != nil {
		f.gate.box.put(drain{until})
	}
	select {
	case <-ctx.Done():
	case <-time.After(comeStill):
	}
	return f.server.Shutdown(ctx)
}

// porch lets clients in while there are descriptors. With none, the client that has been idle longest is retired, or the
// next answer ends its connection: one for each that waits, or those with an open connection would be served over and
// over while one in the kernel's queue waits unread until its time is over. That every answer ends its connection when
// few are left was tried: all clients came back on new ones, which cost more than there was.
type porch struct {
	net.Listener
	purse *Purse
	core  *Core
	mu    sync.Mutex
	fresh map[net.Conn]time.Time // came, and has not said anything yet
	idle  map[net.Conn]time.Time
	in    map[net.Conn]bool
	asked time.Time   // when appliances were last asked to drop what they don't use
	waits atomic.Bool // a client waits for another's place
}

func newPorch(core *Core, purse *Purse) *porch {
	return &porch{core: core, purse: purse, fresh: map[net.Conn]time.Time{}, idle: map[net.Conn]time.Time{}, in: map[net.Conn]bool{}}
}

// doorWait is how often a waiting door looks for clients that have fallen idle: a small part of any SLA time.
const doorWait = 5 * time.Millisecond

func (d *porch) Accept() (net.Conn, error) {
	for !d.purse.client() {
		d.waits.Store(true)
		d.makeRoom()
		select {
		case <-d.purse.given:
		case <-time.After(doorWait):
		}
	}
	d.waits.Store(false)
	c, err := d.Listener.Accept()
	if err != nil {
		d.purse.give(1, 0)
		return nil, err
	}
	d.mu.Lock()
	d.in[c] = true
	d.mu.Unlock()
	return c, nil
}

// silentWait: clients connect to ask. Who has said nothing for so long makes room for those who wait.
const silentWait = 250 * time.Millisecond

// makeRoom retires the clients that came and said nothing, or else the one that has been idle longest, and lets appliances drop what they don't use. The
// server's wait for a request is made to fail: closing would throw away what has been read.
func (d *porch) makeRoom() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := time.Now(); now.Sub(d.asked) >= trimIdle {
		d.asked = now
		d.core.box.put(shortage{})
	}
	silent := 0
	for c, since := range d.fresh {
		if time.Since(since) >= silentWait {
			delete(d.fresh, c)
			c.SetReadDeadline(time.Unix(1, 0))
			silent++
		}
	}
	if silent == 0 {
		d.retire()
	}
	complaints.warn("door", "no descriptor left for a client", "open", len(d.in), "idle", len(d.idle),
		"silent", silent)
}

// retire ends the client's connection that has been idle longest, unless the server may not have begun to wait on it.
func (d *porch) retire() {
	var oldest net.Conn
	for c, since := range d.idle {
		if oldest == nil || since.Before(d.idle[oldest]) {
			oldest = c
		}
	}
	if oldest != nil && time.Since(d.idle[oldest]) >= doorWait {
		delete(d.idle, oldest)
		oldest.SetReadDeadline(time.Unix(1, 0))
	}
}

// state is told by the server; a closed connection's place is free again.
func (d *porch) state(c net.Conn, s http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.idle, c)
	delete(d.fresh, c)
	switch s {
	case http.StateNew:
		d.fresh[c] = time.Now()
	case http.StateIdle:
		if d.idle[c] = time.Now(); len(d.idle) > d.purse.Idle() {
			d.retire()
		}
	case http.StateClosed, http.StateHijacked:
		if d.in[c] {
			delete(d.in, c)
			d.purse.give(1, 0)
		}
	}
}
