package upstream

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"switchfork/internal/connlimit"
	"switchfork/internal/mailbox"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
	"switchfork/internal/tcpconn"
)

// Config is what the endpoints of a pool have in common.
type Config struct {
	DialTimeout      time.Duration
	IdleTimeout      time.Duration // after which an endpoint may close an idle connection; 0: never
	LoadReportFields []string
	Budget           *connlimit.Budget
	// SettleTime is how long a connection rests after an answer before the next request goes out on it.
	SettleTime time.Duration
}

// Pool is what the endpoints share. It is not changed after NewPool.
type Pool struct {
	dial       net.Dialer
	idle       time.Duration
	fields     []string // of a load report
	budget     *connlimit.Budget
	settleTime time.Duration
}

// DefaultSettleTime: a second answer to the request before may still be on its way when a connection is at rest, by the protocol some
// milliseconds (2 to 5 were seen, join+mass, seeds 1 to 3), and the next request on it would be served with another's body. This is some
// times that. It costs one connection more where one would be used again at once.
const DefaultSettleTime = 20 * time.Millisecond

// NewPool makes a pool without endpoints.
func NewPool(c Config) *Pool {
	return &Pool{
		dial: net.Dialer{Timeout: c.DialTimeout, KeepAlive: -1}, idle: c.IdleTimeout, fields: c.LoadReportFields, budget: c.Budget,
		settleTime: c.SettleTime,
	}
}

// NewEndpoint starts the goroutine of one endpoint, which tells events what becomes of its attempts.
func (p *Pool) NewEndpoint(id uint32, e protocol.ListEntry, events Events) *Endpoint {
	a := &Endpoint{pool: p, events: events, id: id, name: e.Host, box: mailbox.New[any]()}
	go a.serve()
	return a
}

// StallThreshold: a timer that is so late says that the process stood still. What the endpoint list and the rollout controller wrote
// meanwhile counts as received, but may not have been read yet.
const StallThreshold = 250 * time.Millisecond

// Events receives what becomes of attempts and health checks. Its methods are called by the endpoints' goroutines and must not wait.
type Events interface {
	AttemptFinished(AttemptFinished)
	HealthChecked(policy.HealthCheckResult)
	ConnectionsExhausted()
	DialStarted()
}

// AttemptFinished is the result of one attempt, with the response where one came.
type AttemptFinished struct {
	policy.AttemptResult
	Result   protocol.Result
	Response *protocol.Response
}

// ID is the endpoint's number in the list.
func (a *Endpoint) ID() uint32 { return a.id }

// Update takes the list's latest entry for the endpoint.
func (a *Endpoint) Update(e protocol.ListEntry) { a.box.Put(listed{ListEntry: e}) }

// Remove ends the endpoint once nothing of it is in flight.
func (a *Endpoint) Remove() { a.box.Put(listed{gone: true}) }

// Send starts an attempt.
func (a *Endpoint) Send(attempt Attempt) { a.box.Put(attempt) }

// CheckHealth starts a health check.
func (a *Endpoint) CheckHealth() { a.box.Put(probe{}) }

// Cancel gives an attempt up.
func (a *Endpoint) Cancel(requestID uint64) { a.box.Put(callOff{requestID}) }

// TrimIdle closes connections that present traffic does not need.
func (a *Endpoint) TrimIdle() { a.box.Put(trim{}) }

// Endpoint is one actor. Only serve's goroutine touches the fields below box.
type Endpoint struct {
	pool   *Pool
	events Events
	id     uint32
	name   string
	box    *mailbox.Mailbox[any]

	now      process // as it was listed last
	leaving  bool    // it wants nothing new
	idle     []*conn // the last one used is the first to be used again
	out      map[uint64]*job
	sweeping bool // a sweep of idle ones is on its way
	gone     bool // off the list
	pending  int  // dials and probes that have not ended
}

// process is what listens at an appliance: an address may return with another start or another build.
type process struct {
	addr  string
	born  float64
	build int
}

type (
	listed struct { // what the list says of it
		protocol.ListEntry
		gone bool
	}
	Attempt struct {
		RequestID           uint64
		Encoded             *protocol.EncodedRequest
		DecidedAt, Deadline time.Time
		WriteBefore         time.Time // its last byte must not leave later; zero: no such time
	}
	probe   struct{}
	callOff struct{ id uint64 }
	trim    struct{} // descriptors are short
	sweep   struct{}
	due     struct{ job *job }
	tooLate struct{ job *job } // what is not written by now must not be any more
	dialed  struct {
		job  *job
		conn *conn
		err  error
	}
	wrote struct {
		job  *job
		conn *conn
		err  error
	}
	heard struct { // a connection brought an answer, or its end
		conn   *conn
		answer *protocol.Response
		err    error
	}
)

// job is one submission or probe on its way.
type job struct {
	Attempt
	probe bool
	on    *conn           // nil while it comes up
	sent  bool            // its last byte is written
	cut   protocol.Result // how its connection ended before the writer told how far it got
	over  bool
	timer *time.Timer
}

// conn is one connection, with one job at a time; its reader's goroutine lives as long as it does.
type conn struct {
	net.Conn
	to     process // that it was dialed to
	job    *job
	used   bool // a job ended well on it
	closed bool
	since  time.Time     // idle since
	ask    chan struct{} // a token lets the reader take one answer; closed with the connection
}

// still tells whether nothing has come in on a connection at rest: neither its end nor anything behind the last
// answer, which would be taken for the next one's.
func (c *conn) still() bool { return tcpconn.IsQuiet(c.Conn) }

func (a *Endpoint) serve() {
	a.out = map[uint64]*job{}
	var notes []any
	for range a.box.Ready() {
		notes = a.box.Take(notes)
		for _, n := range notes {
			a.note(n)
		}
		if a.gone && len(a.out)+a.pending == 0 {
			a.dropIdle(0)
			return
		}
	}
}

func (a *Endpoint) note(n any) {
	switch n := n.(type) {
	case listed:
		a.listed(n)
	case Attempt:
		j := &job{Attempt: n}
		a.out[n.RequestID] = j
		a.begin(j)
	case probe:
		a.pending++
		now := time.Now()
		a.begin(&job{Attempt: Attempt{DecidedAt: now, Deadline: now.Add(a.pool.dial.Timeout), Encoded: a.probing()}, probe: true})
	case callOff:
		if j := a.out[n.id]; j != nil {
			a.finish(j, protocol.Cancelled, nil)
		}
	case due:
		switch j := n.job; {
		case j.over:
		case j.on == nil:
			a.finish(j, protocol.NotSent, nil) // nothing has been written, and the connection had time left
		default:
			a.finish(j, protocol.TimedOut, nil)
		}
	case tooLate:
		if j := n.job; !j.over && j.on == nil {
			a.finish(j, protocol.NotSent, nil)
		}
	case dialed:
		a.dialed(n)
	case wrote:
		a.wrote(n)
	case heard:
		a.heard(n)
	case trim:
		a.dropIdle(TrimIdleAfter)
	case sweep:
		a.sweeping = false
		a.dropIdle(a.pool.idle / 2)
		a.keepSweeping()
	}
}

// probing asks for the load report where there are any.
func (a *Endpoint) probing() *protocol.EncodedRequest {
	target := "/ping"
	if len(a.pool.fields) > 0 {
		target = "/_load"
	}
	return protocol.EncodeRequest("GET", target, a.now.addr, nil, nil)
}

// listed takes the list's word on. A process that was replaced takes its idle connections along: what would be written to them ends as
// a reset. What waits for a connection was ordered before that word: written when the connection comes up, up to a second later, it
// would reach a process that leaves, or one of another build. It ends as not sent, and the module chooses anew.
func (a *Endpoint) listed(n listed) {
	next := a.now
	if !n.gone {
		next = process{n.Dial, n.BornMs, n.Build}
	}
	a.gone, a.leaving = n.gone, n.Health != "active"
	other := next != a.now
	if a.now = next; a.gone || other {
		a.dropIdle(0)
	}
	if !a.gone && !a.leaving && !other {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(a.out)) {
		if j := a.out[id]; j.on == nil {
			a.finish(j, protocol.NotSent, nil)
		}
	}
}

// begin gives a job a connection: the idle one used last, or a new one.
func (a *Endpoint) begin(j *job) {
	wait := time.Until(j.Deadline)
	if wait <= 0 || a.gone || a.leaving && !j.probe {
		a.finish(j, protocol.NotSent, nil)
		return
	}
	if j.timer == nil {
		j.timer = time.AfterFunc(wait, func() { a.box.Put(due{j}) })
		if !j.WriteBefore.IsZero() && j.WriteBefore.Before(j.Deadline) {
			time.AfterFunc(time.Until(j.WriteBefore), func() { a.box.Put(tooLate{j}) })
		}
	}
	young := time.Now().Add(-a.pool.settleTime)
	for _, c := range slices.Backward(slices.Clone(a.idle)) {
		switch {
		case c.since.After(young):
		case a.stale(c):
			a.drop(c) // the sweep is late: the process stood still
		case c.still():
			a.idle = slices.DeleteFunc(a.idle, func(d *conn) bool { return d == c })
			a.write(c, j)
			return
		default:
			a.drop(c)
		}
	}
	place := a.pool.budget.AcquireUpstream()
	if !place && len(a.idle) > 0 { // one that may not be used yet has the place of one that may
		a.drop(a.idle[0])
		place = a.pool.budget.AcquireUpstream()
	}
	if !place {
		ratelog.Warn("budget", "no descriptor left for a connection", "appliance", a.name)
		a.events.ConnectionsExhausted()
		a.finish(j, protocol.NotSent, nil)
		return
	}
	a.pending++
	a.events.DialStarted()
	to := a.now
	go func() {
		nc, err := tcpconn.Dial(context.Background(), &a.pool.dial, to.addr, nil)
		if err != nil {
			a.pool.budget.Release(0, 1)
			a.box.Put(dialed{job: j, err: err})
			return
		}
		c := &conn{Conn: nc, to: to, ask: make(chan struct{}, 1)}
		a.box.Put(dialed{job: j, conn: c})
		a.read(c)
	}()
}

func (a *Endpoint) dialed(n dialed) {
	a.pending--
	switch {
	case n.err == nil && (a.gone || n.conn.to != a.now):
		a.drop(n.conn) // it leads to a process that is no more what was meant
		if !n.job.over {
			a.finish(n.job, protocol.NotSent, nil)
		}
	case n.err == nil && n.job.over:
		a.rest(n.conn) // its job gave up; the next one finds it ready
	case n.err == nil:
		a.write(n.conn, n.job)
	case n.job.over:
	case errors.Is(n.err, syscall.ECONNREFUSED), errors.Is(n.err, syscall.ECONNRESET):
		a.finish(n.job, protocol.ConnectionRefused, nil)
	case errors.Is(n.err, syscall.EMFILE), errors.Is(n.err, syscall.ENFILE), errors.Is(n.err, syscall.EADDRNOTAVAIL):
		ratelog.Warn("dial", "could not open a connection", "appliance", a.name, "err", n.err)
		a.finish(n.job, protocol.NotSent, nil)
	default:
		a.finish(n.job, protocol.ConnectTimeout, nil)
	}
}

// writeAtOnce: a request under this fits into the buffer of a connection that has nothing else outstanding, so
// writing it does not block the actor; a longer one gets a goroutine.
const writeAtOnce = 8 << 10

func (a *Endpoint) write(c *conn, j *job) {
	raw := j.Encoded.Bytes(time.Until(j.Deadline))
	c.ask <- struct{}{} // an answer that comes before the last byte is written is read too
	c.job, j.on, j.sent, j.cut = j, c, false, protocol.Succeeded
	// A process may have stood still since the module chose this appliance, and the list may say otherwise by now: what is older than
	// a connection takes to come up, and than a standstill that is no longer noticed, is chosen again. It may cost a txn that waited
	// on a starved core another turn.
	if now := time.Now(); now.Sub(j.DecidedAt) > a.pool.dial.Timeout+StallThreshold || !j.WriteBefore.IsZero() && !now.Before(j.WriteBefore) {
		a.finish(j, protocol.NotSent, nil)
		return
	}
	if len(raw) <= writeAtOnce {
		_, err := c.Write(raw)
		a.wrote(wrote{j, c, err})
		return
	}
	go func() {
		last := j.Deadline
		if !j.WriteBefore.IsZero() && j.WriteBefore.Before(last) {
			last = j.WriteBefore
		}
		c.SetWriteDeadline(last)
		_, err := c.Write(raw)
		c.SetWriteDeadline(time.Time{})
		a.box.Put(wrote{j, c, err})
	}()
}

// wrote: what did not leave whole has not run. On a connection that had been idle that is its end crossing the
// request, no sign of the appliance's state, and another connection is tried.
func (a *Endpoint) wrote(n wrote) {
	j := n.job
	switch {
	case j.over:
	case n.err != nil:
		a.drop(n.conn)
		if j.on = nil; n.conn.used {
			a.begin(j)
		} else {
			a.finish(j, protocol.LostBeforeSent, nil)
		}
	case j.cut != protocol.Succeeded:
		a.finish(j, j.cut, nil)
	default:
		j.sent = true
	}
}

// read tells of one answer, or the connection's end, for each job. Between jobs it reads nothing: what an appliance
// sends behind an answer never meets the next job.
func (a *Endpoint) read(c *conn) {
	in := newResponseReader(c.Conn)
	for range c.ask {
		ans, err := in.next(a.pool.fields)
		a.box.Put(heard{c, ans, err})
		if err != nil || ans.IsLast {
			return
		}
	}
}

func (a *Endpoint) heard(n heard) {
	c, j := n.conn, n.conn.job
	switch {
	case c.closed, j == nil:
	case n.err == nil && j.probe && n.answer.Result == protocol.ClientError:
		a.finish(j, protocol.ServerError, n.answer) // it answers, if not to this
	case n.err == nil:
		a.finish(j, n.answer.Result, n.answer)
	case j.sent:
		a.finish(j, endOf(n.err), nil)
	default:
		j.cut = endOf(n.err)
		a.drop(c) // the writer comes back and tells
	}
}

// endOf tells a connection's end from an answer that can't be read.
func endOf(err error) protocol.Result {
	var op *net.OpError
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return protocol.Malformed // begun, and then no more of it
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) {
		return protocol.LostAfterSent
	}
	return protocol.Malformed
}

// finish tells how a job ended, after its connection is at rest or closed: never two submissions at once.
func (a *Endpoint) finish(j *job, how protocol.Result, ans *protocol.Response) {
	j.over = true
	if j.timer != nil {
		j.timer.Stop()
	}
	if c := j.on; c != nil {
		if c.job = nil; ans != nil && !ans.IsLast && j.sent {
			c.used = true
			a.rest(c)
		} else {
			a.drop(c)
		}
	}
	switch {
	case how == protocol.LostAfterSent, how == protocol.LostBeforeSent, how == protocol.ConnectTimeout, how == protocol.ConnectionRefused, how == protocol.TimedOut && j.probe:
		// The process or the way to it is gone or was: idle connections may be dead without a sign, and each
		// would cost a submission that may have run. It costs a handshake where only the one had ended.
		a.dropIdle(0)
	}
	took := policy.Micros(time.Since(j.DecidedAt).Microseconds())
	if how != protocol.Succeeded {
		ratelog.Warn(a.name+how.String(), "appliance", "appliance", a.name, "ending", how.String(),
			"probe", j.probe, "after_ms", took/1000)
	}
	if j.probe {
		a.pending--
		p := policy.HealthCheckResult{EndpointID: a.id, Outcome: how.Outcome(), Elapsed: took}
		if ans != nil {
			if p.Load = ans.Load; p.Load == nil {
				p.Load = protocol.ParseLoadReport(ans.Body, a.pool.fields)
			}
		}
		a.events.HealthChecked(p)
		return
	}
	delete(a.out, j.RequestID)
	e := AttemptFinished{AttemptResult: policy.AttemptResult{RequestID: j.RequestID, EndpointID: a.id, Outcome: how.Outcome(), Elapsed: took}, Result: how, Response: ans}
	if ans != nil {
		e.Load = ans.Load
	}
	a.events.AttemptFinished(e)
}

func (a *Endpoint) rest(c *conn) {
	if c.closed || c.to != a.now || a.gone {
		a.drop(c)
		return
	}
	c.since = time.Now()
	a.idle = append(a.idle, c)
	a.keepSweeping()
}

func (a *Endpoint) drop(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	close(c.ask)
	c.Close()
	a.pool.budget.Release(0, 1)
	if i := slices.Index(a.idle, c); i >= 0 {
		a.idle = slices.Delete(a.idle, i, i+1)
	}
}

// stale tells whether the appliance may be about to close a connection: half of the told time keeps well clear of it, which would
// make a reset of a request that crosses it.
func (a *Endpoint) stale(c *conn) bool {
	return a.pool.idle > 0 && time.Since(c.since) >= a.pool.idle/2
}

// dropIdle closes what has been idle that long.
func (a *Endpoint) dropIdle(long time.Duration) {
	for _, c := range slices.Clone(a.idle) {
		if time.Since(c.since) >= long {
			a.drop(c)
		}
	}
}

// TrimIdleAfter: when descriptors are short, those idle for so long are more than the present traffic needs.
const TrimIdleAfter = 500 * time.Millisecond

func (a *Endpoint) keepSweeping() {
	if len(a.idle) > 0 && !a.sweeping && a.pool.idle > 0 {
		a.sweeping = true
		time.AfterFunc(a.pool.idle/8, func() { a.box.Put(sweep{}) })
	}
}
