package simprotocol

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"switchfork/internal/golden"
	"switchfork/internal/policy"
)

// recordingRouter records the events that it receives, and answers each event with one command of every type.
type recordingRouter struct{ events []policy.Event }

func (r *recordingRouter) Handle(_ policy.Micros, ev policy.Event) []policy.Command {
	r.events = append(r.events, ev)
	return []policy.Command{
		policy.SendAttempt{RequestID: 0x0102030405060708, EndpointID: 0x11121314, Timeout: 123456, WriteBefore: 99},
		policy.CancelAttempt{RequestID: 0x2122232425262728, Attempt: 3},
		policy.Reject{RequestID: 0x3132333435363738, RetryAfter: 1500000},
		policy.Fail{RequestID: 0x4142434445464748},
		policy.SetTimer{At: 8256000123, Token: 0x5152535455565758},
		policy.CheckHealth{EndpointID: 0x61626364},
		policy.SendGossip{To: 0x71727374, Payload: []byte("sheet")},
		policy.WatchEndpoints{},
		policy.Vote{Build: 0x8182, Stage: 5, Verdict: policy.Rollback},
		policy.LogMessage{Text: "says"},
	}
}

// formatValues formats an event without the names of its type and fields.
func formatValues(v reflect.Value) string {
	if v.Kind() == reflect.Struct {
		var parts []string
		for i := range v.NumField() {
			parts = append(parts, formatValues(v.Field(i)))
		}
		return "{" + strings.Join(parts, " ") + "}"
	}
	if v.Kind() == reflect.Slice {
		var parts []string
		for i := range v.Len() {
			parts = append(parts, formatValues(v.Index(i)))
		}
		return "[" + strings.Join(parts, " ") + "]"
	}
	if v.Kind() == reflect.String {
		return v.String()
	}
	if v.CanInt() {
		return fmt.Sprint(v.Int())
	}
	return fmt.Sprint(v.Interface())
}

// TestGoldenMessages compares the decoded events and the encoded commands of every kind with the golden file.
func TestGoldenMessages(t *testing.T) {
	router := &recordingRouter{}
	host := NewHost()
	host.routers[3] = router
	records := []func(*writer){
		endpointList,
		rawRecord("01 0c000000 0300 01 2900000000000000 00"),
		rawRecord("01 0c000000 0300 03 2900000000000000 07"),
		requestArrived,
		rawRecord("03 0a000000 0300 4d00000000000000"),
		rawRecord("05 0a000000 0300 4e00000000000000"),
		rawRecord("06 0a000000 0300 4f00000000000000"),
		rawRecord("08 0b000000 0300 05000000 0300 616263"),
		rawRecord("0a 15000000 0300 2900 01 03 01 2e01 0000003f 0000000000607340"),
		rawRecord("0b 1e000000 0300 2900 0100 64000000 05000000 0000000000005940 0000000000607340"),
		rawRecord("0c 10000000 0300 0100 0000000000607340 11223344"),
		func(w *writer) {
			w.record(4, 3, func() {
				w.u64(0x99)
				w.u8(1)
				w.u32(0x31323334)
				w.u16(303)
				w.micros(250500)
				w.u8(1)
				w.u8(2)
				w.u32(0x3f000000)
				w.u32(0x40000000)
			})
		},
		func(w *writer) {
			w.record(7, 3, func() {
				w.u32(0x31323334)
				w.u16(304)
				w.micros(1500)
				w.u8(0)
			})
		},
	}
	body := encodeFrame(records...)
	reply, err := host.handleBatch(body[4:])
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, ev := range router.events {
		fmt.Fprintln(&out, formatValues(reflect.ValueOf(ev)))
	}
	fmt.Fprintf(&out, "%x\n", reply[:min(len(reply), 400)])
	golden.Check(t, "messages.golden", out.String())
}
