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
	maxPanicMessageBytes = 2000 // a longer panic message is truncated
)

// Host runs the policy instances of one process. They share only the connection to the simulator and the endpoint lists.
type Host struct {
	routers       map[int]policy.Router // by instance number
	endpointLists endpointLists
}

// NewHost returns a host without instances. A record of kind kindInstanceStarted starts an instance.
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

// handleBatch handles the records of a batch in order and returns a frame with the resulting commands.
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
		return nil, fmt.Errorf("batch has %d bytes after its %d records, want none", len(r.buf), count)
	}
	return w.frame(), nil
}

func (h *Host) handleRecord(now policy.Micros, kind eventKind, r *reader, w *writer) error {
	if kind > lastKnownKind {
		return nil // skip an event that a later version of the protocol added
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

// handleEvent passes an event to a router and writes the commands that the router returns. If the router panics,
// handleEvent writes one record that reports the panic instead, and the other instances keep running.
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
