package netfault

import (
	"slices"
	"testing"
)

// takeAll removes what is due and names it by its first byte.
func takeAll(s *packetSchedule, now Micros) (names string, timedOut []bool) {
	for {
		p, isDue := s.takeDue(now)
		if !isDue {
			return names, timedOut
		}
		names += string(p.payload)
		timedOut = append(timedOut, p.reorderTimedOut)
	}
}

func testPacket(name string, d Delivery) packet {
	d.Copies = 1
	return packet{Delivery: d, route: route{0, 1}, payload: []byte(name)}
}

func TestPacketScheduleOrder(t *testing.T) {
	s := newPacketSchedule()
	s.add(testPacket("c", Delivery{DeliverAt: 20}))
	s.add(testPacket("a", Delivery{DeliverAt: 10}))
	s.add(testPacket("b", Delivery{DeliverAt: 10}))
	if at, isPending := s.next(); at != 10 || !isPending || s.pending() != 3 {
		t.Errorf("next at %d, %t, %d pending", at, isPending, s.pending())
	}
	if names, _ := takeAll(s, 19); names != "ab" {
		t.Errorf("due by 19: %q, want ab", names)
	}
	if names, _ := takeAll(s, 20); names != "c" {
		t.Errorf("due by 20: %q, want c", names)
	}
	if _, isPending := s.next(); isPending {
		t.Error("something is left")
	}
}

// A waiting packet goes right behind the one that overtakes it, and once only.
func TestPacketScheduleOvertaking(t *testing.T) {
	s := newPacketSchedule()
	s.add(testPacket("late", Delivery{DeliverAt: 1000, AwaitsReorder: true}))
	s.add(testPacket("next ", Delivery{DeliverAt: 10, Overtakes: true}))
	if names, timedOut := takeAll(s, 2000); names != "next late" || slices.Contains(timedOut, true) {
		t.Errorf("delivered %q, timed out %v", names, timedOut)
	}
}

// A waiting packet that nothing overtakes goes at its own time, and the link is notified.
func TestPacketScheduleReorderTimesOut(t *testing.T) {
	s := newPacketSchedule()
	s.add(testPacket("late", Delivery{DeliverAt: 1000, AwaitsReorder: true}))
	if names, _ := takeAll(s, 999); names != "" {
		t.Errorf("%q is delivered too early", names)
	}
	if names, timedOut := takeAll(s, 1000); names != "late" || !slices.Equal(timedOut, []bool{true}) {
		t.Errorf("delivered %q, timed out %v", names, timedOut)
	}
}
