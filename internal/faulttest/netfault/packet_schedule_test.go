package netfault

import (
	"slices"
	"testing"
)

// takeAll removes all packets that are due at now, and returns their payloads joined together.
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
		t.Errorf("next packet at %d, %t, with %d pending; want 10, true, with 3 pending", at, isPending, s.pending())
	}
	if names, _ := takeAll(s, 19); names != "ab" {
		t.Errorf("due at 19: got %q, want ab", names)
	}
	if names, _ := takeAll(s, 20); names != "c" {
		t.Errorf("due at 20: got %q, want c", names)
	}
	if _, isPending := s.next(); isPending {
		t.Error("a packet is pending after all have been taken")
	}
}

// A packet that waits to be overtaken is delivered directly after the one that overtakes it, and only once.
func TestPacketScheduleOvertaking(t *testing.T) {
	s := newPacketSchedule()
	s.add(testPacket("late", Delivery{DeliverAt: 1000, AwaitsReorder: true}))
	s.add(testPacket("next ", Delivery{DeliverAt: 10, Overtakes: true}))
	if names, timedOut := takeAll(s, 2000); names != "next late" || slices.Contains(timedOut, true) {
		t.Errorf("delivered %q, timed out %v; want \"next late\", none timed out", names, timedOut)
	}
}

// A waiting packet that no other overtakes is delivered at the end of its wait, and is marked as timed out.
func TestPacketScheduleReorderTimesOut(t *testing.T) {
	s := newPacketSchedule()
	s.add(testPacket("late", Delivery{DeliverAt: 1000, AwaitsReorder: true}))
	if names, _ := takeAll(s, 999); names != "" {
		t.Errorf("%q was delivered before the end of its wait", names)
	}
	if names, timedOut := takeAll(s, 1000); names != "late" || !slices.Equal(timedOut, []bool{true}) {
		t.Errorf("delivered %q, timed out %v; want late, timed out", names, timedOut)
	}
}
