package simprotocol

import (
	"bufio"
	"fmt"
	"io"

	"switchfork/internal/config"
	"switchfork/internal/policy"
)

var outcomesByCode = map[int]policy.Outcome{
	100: policy.OK, 301: policy.ServerError, 302: policy.Rejected,
	303: policy.TimedOut, 304: policy.ConnectFailed, 305: policy.ConnectionLost, 306: policy.Cancelled, 307: policy.NotAttempted,
}

var phasesByCode = []policy.Phase{policy.Evaluating, policy.RollingBack, policy.Released, policy.RolledBack}

// Host runs the instances of one process; they share nothing but the wire.
type Host struct {
	routers  map[int]policy.Router
	endpointLists map[int][]policy.Endpoint
}

func NewHost() *Host { return &Host{routers: map[int]policy.Router{}, endpointLists: map[int][]policy.Endpoint{}} }

// Serve answers batches until the input ends.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	src, dst := bufio.NewReaderSize(in, 1<<16), bufio.NewWriter(out)
	for {
		body, err := readFrame(src)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := h.handleBatch(body)
		if err != nil {
			return err
		}
		if _, err = dst.Write(reply); err == nil {
			err = dst.Flush()
		}
		if err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

func (h *Host) handleBatch(body []byte) ([]byte, error) {
	r := &reader{buf: body}
	count, now := int(r.u32()), r.micros("clock")
	w := &writer{buf: make([]byte, 4, 256)}
	for i := 0; i < count && r.err == nil; i++ {
		r.position = position{i, count, -1}
		code := r.u8()
		rec := &reader{buf: r.text(int(r.u32())), position: position{i, count, code}}
		if r.err != nil {
			break
		}
		if err := h.handleRecord(now, code, rec, w); err != nil {
			return nil, err
		}
	}
	if r.err != nil {
		return nil, r.err
	}
	if len(r.buf) > 0 {
		return nil, fmt.Errorf("batch: %d bytes are left after its %d records", len(r.buf), count)
	}
	byteOrder.PutUint32(w.buf, uint32(len(w.buf)))
	return w.buf, nil
}

func (h *Host) handleRecord(now int64, code int, r *reader, w *writer) error {
	if code == 13 {
		return h.storeEndpointList(r)
	}
	if code > 13 {
		return nil // an event of a later wire
	}
	who := r.u16()
	if r.err == nil && code == 0 {
		seed := r.u64()
		env := string(r.text(int(r.u32())))
		if r.err != nil {
			return r.err
		}
		m, err := config.ParsePairs(env).NewRouter(seed)
		if err != nil {
			return fmt.Errorf("instance %d: %w", who, err)
		}
		h.routers[who] = m
		return nil
	}
	if r.err == nil && code == 9 {
		delete(h.routers, who)
		return nil
	}
	ev, err := h.decodeEvent(code, r)
	if err != nil {
		return err
	}
	m := h.routers[who]
	if m == nil {
		return fmt.Errorf("code %d: instance %d has not started", code, who)
	}
	handleEvent(m, now, ev, who, w)
	return nil
}

// handleEvent turns a panic of the module into the wire's word for it.
func handleEvent(m policy.Router, now int64, ev policy.Event, who int, w *writer) {
	keep := len(w.buf)
	defer func() {
		if p := recover(); p != nil {
			w.buf = w.buf[:keep]
			text := []byte(fmt.Sprint(p))
			w.record(5, who, func() { w.text(text[:min(len(text), 2000)]) })
		}
	}()
	for _, o := range m.Handle(now, ev) {
		encodeCommand(w, who, o)
	}
}

func (h *Host) storeEndpointList(r *reader) error {
	buf, n := r.u8(), int(r.u32())
	if r.err == nil && n*25 > len(r.buf) {
		return fmt.Errorf("%s: %d list entries do not fit in %d bytes", r.position, n, len(r.buf))
	}
	rows := make([]policy.Endpoint, 0, n)
	for i := 0; i < n && r.err == nil; i++ {
		row := policy.Endpoint{ID: r.u32(), Build: int(r.f32()), Zone: r.u8()}
		state := r.u8()
		if state > 2 {
			return fmt.Errorf("%s: appliance %d has phase %d", r.position, row.ID, state)
		}
		row.State = policy.EndpointState(state)
		r.u8()
		row.Cell, row.Started, row.Weight = r.u16(), r.micros("UpSinceMs"), r.f32()
		rows = append(rows, row)
	}
	h.endpointLists[buf] = rows
	return r.err
}

func (h *Host) decodeEvent(code int, r *reader) (policy.Event, error) {
	outcome := func() policy.Outcome {
		c := r.u16()
		o, ok := outcomesByCode[c]
		if !ok && r.err == nil {
			r.err = fmt.Errorf("%s: outcome %d is not known", r.position, c)
		}
		return o
	}
	var ev policy.Event
	switch code {
	case 1:
		how := r.u8()
		r.u64()
		buf := r.u8()
		rows, ok := h.endpointLists[buf]
		if how > 3 || (how != 3 && !ok && r.err == nil) {
			return nil, fmt.Errorf("%s: list news of kind %d names list %d", r.position, how, buf)
		}
		if how == 3 {
			rows = nil
		}
		ev = policy.EndpointUpdate{Full: how == 1 || how == 2, Failed: how == 3, Endpoints: rows}
	case 2:
		t := policy.RequestArrived{
			ID: r.u64(), Class: r.u16(), Tenant: int(r.u32()), Key: r.u64(),
			Deadline: r.micros("ExpiresMs"),
		}
		t.CostHint = r.micros("WeightHintMs")
		opts := r.u8()
		if opts&1 == 0 {
			t.CostHint = 0
		}
		t.IsRetry = opts&2 != 0
		ev = t
	case 3:
		ev = policy.ResponseStarted{RequestID: r.u64()}
	case 4:
		e := policy.AttemptResult{RequestID: r.u64()}
		r.u8()
		e.EndpointID, e.Outcome, e.Elapsed, e.RequestDone, e.Load = r.u32(), outcome(), r.micros("WaitTimeMs"), r.u8() != 0, r.floats()
		ev = e
	case 5:
		ev = policy.RequestCancelled{RequestID: r.u64()}
	case 6:
		ev = policy.TimerFired{Token: r.u64()}
	case 7:
		ev = policy.HealthCheckResult{EndpointID: r.u32(), Outcome: outcome(), Elapsed: r.micros("WaitTimeMs"), Load: r.floats()}
	case 8:
		from := int(r.u32())
		ev = policy.GossipReceived{From: from, Payload: r.text(r.u16())}
	case 10:
		s := policy.RolloutUpdate{Build: r.u16(), Stage: r.u8()}
		p := r.u8()
		if p >= len(phasesByCode) {
			return nil, fmt.Errorf("%s: phase %d of a build is not known", r.position, p)
		}
		s.Phase, s.IsVoteReply, s.Outcome, s.Cap, s.Age = phasesByCode[p], r.u8() == 1, outcome(), r.f32(), r.micros("LatenessMs")
		ev = s
	case 11:
		ev = policy.MetricsReport{
			Build: r.u16(), Class: r.u16(), Requests: int(r.u32()), Failures: int(r.u32()),
			MeanLatency: r.micros("WaitTimeMs"), Age: r.micros("LatenessMs"),
		}
	case 12:
		ev = policy.ErrorReport{Class: r.u16(), Age: r.micros("LatenessMs"), EndpointID: r.u32()}
	}
	return ev, r.err
}

func encodeCommand(w *writer, who int, o policy.Command) {
	switch o := o.(type) {
	case policy.Reject:
		w.record(0, who, func() { w.u64(o.RequestID); w.micros(o.RetryAfter) })
	case policy.LogMessage:
		w.record(1, who, func() { w.text([]byte(o.Text)) })
	case policy.CheckHealth:
		w.record(2, who, func() { w.u32(o.EndpointID) })
	case policy.SetTimer:
		w.record(3, who, func() { w.micros(o.At); w.u64(o.Token) })
	case policy.SendGossip:
		w.record(4, who, func() { w.u32(uint32(o.To)); w.text(o.Payload) })
	case policy.CancelAttempt:
		w.record(7, who, func() { w.u64(o.RequestID); w.u8(o.Attempt) })
	case policy.Vote:
		w.record(8, who, func() { w.u16(o.Build); w.u8(o.Stage); w.u8(int(o.Verdict)) })
	case policy.SendAttempt:
		w.record(10, who, func() { w.u64(o.RequestID); w.micros(o.Timeout); w.u32(o.EndpointID) })
	case policy.WatchEndpoints:
		w.record(11, who, func() { w.u8(1) })
	case policy.Fail:
		w.record(12, who, func() { w.u64(o.RequestID) })
	default:
		panic(fmt.Sprintf("no wire form for order %T", o))
	}
}
