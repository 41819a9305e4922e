package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"switchfork/internal/config"
	"switchfork/internal/policy"
)

const (
	readBufferBytes      = 1 << 16
	maxPanicMessageBytes = 2000 // of a panic's message that is reported
)

// Host runs the instances of one process. They share nothing but the connection to the simulator.
type Host struct {
	routers       map[int]policy.Router // by instance
	endpointLists endpointLists
}

// NewHost returns a host without instances; the simulator starts them.
func NewHost() *Host {
	return &Host{routers: map[int]policy.Router{}, endpointLists: endpointLists{}}
}

// Serve answers batches until the input ends.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	input := bufio.NewReaderSize(in, readBufferBytes)
	output := bufio.NewWriter(out)
	for {
		body, err := readFrame(input)
		if errors.Is(err, errEndOfInput) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := h.handleBatch(body)
		if err != nil {
			return err
		}
		if _, err = output.Write(reply); err == nil {
			err = output.Flush()
		}
		if err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// handleBatch handles a batch's records in their order and returns the frame of the commands that answer them.
func (h *Host) handleBatch(body []byte) ([]byte, error) {
	r := &reader{buf: body}
	count := int(r.u32())
	now := r.micros("clock")
	w := newFrameWriter()
	for i := 0; i < count && r.err == nil; i++ {
		r.position = position{index: i, count: count, kind: kindUnknown}
		kind := r.u8()
		record := &reader{buf: r.bytes(int(r.u32())), position: position{index: i, count: count, kind: kind}}
		if r.err != nil {
			break
		}
		if err := h.handleRecord(now, eventKind(kind), record, w); err != nil {
			return nil, err
		}
	}
	if r.err != nil {
		return nil, r.err
	}
	if len(r.buf) > 0 {
		return nil, fmt.Errorf("batch: %d bytes are left after its %d records", len(r.buf), count)
	}
	return w.frame(), nil
}

func (h *Host) handleRecord(now policy.Micros, kind eventKind, r *reader, w *writer) error {
	if kind > lastKnownKind {
		return nil // an event of a later version of the protocol
	}
	if kind == kindEndpointList {
		return h.storeEndpointList(r)
	}
	instance := r.u16()
	if r.err != nil {
		return r.err
	}
	if kind == kindInstanceStarted {
		return h.startInstance(instance, r)
	}
	if kind == kindInstanceStopped {
		delete(h.routers, instance)
		return nil
	}
	event, err := decodeEvent(kind, r, h.endpointLists)
	if err != nil {
		return err
	}
	router := h.routers[instance]
	if router == nil {
		return fmt.Errorf("code %d: instance %d has not started", kind, instance)
	}
	handleEvent(router, now, event, instance, w)
	return nil
}

func (h *Host) startInstance(instance int, r *reader) error {
	seed := r.u64()
	settings := string(r.bytes(int(r.u32())))
	if r.err != nil {
		return r.err
	}
	router, err := config.ParsePairs(settings).NewRouter(seed)
	if err != nil {
		return fmt.Errorf("instance %d: %w", instance, err)
	}
	h.routers[instance] = router
	return nil
}

func (h *Host) storeEndpointList(r *reader) error {
	number, endpoints, err := decodeEndpointList(r)
	if err != nil {
		return err
	}
	h.endpointLists[number] = endpoints
	return nil
}

// handleEvent writes the commands with which the router answers an event. If the router panics, one record that reports
// the panic takes their place, and the other instances go on.
func handleEvent(router policy.Router, now policy.Micros, event policy.Event, instance int, w *writer) {
	start := len(w.buf)
	defer func() {
		if cause := recover(); cause != nil {
			message := []byte(fmt.Sprint(cause))
			message = message[:min(len(message), maxPanicMessageBytes)]
			w.buf = w.buf[:start]
			w.record(kindPanicked, instance, func() { w.bytes(message) })
		}
	}()
	for _, command := range router.Handle(now, event) {
		encodeCommand(w, instance, command)
	}
}
