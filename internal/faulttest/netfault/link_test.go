package netfault

import "testing"

// Over many draws, without I/O, each fault occurs at its configured rate and with its configured size.
func TestFaultRatesMatchConfiguration(t *testing.T) {
	const draws = 200_000
	lost, duplicated, delaySum := 0, 0, 0.0
	link := NewLink(1)
	link.SetFault(Fault{LossRate: 0.3, DuplicateRate: 0.2, Delay: 50_000, Jitter: 20_000})
	for i := range int64(draws) {
		now := i * 100_000 // the interval exceeds the jitter, so no datagram waits for the previous one
		switch d := link.ScheduleDatagram(now, 80); d.Copies {
		case 0:
			lost++
		case 2:
			duplicated++
			fallthrough
		default:
			if delaySum += float64(d.DeliverAt - now); d.DeliverAt < now+30_000 || d.DeliverAt > now+70_000 {
				t.Fatalf("datagram delayed by %d us, want 30,000 to 70,000", d.DeliverAt-now)
			}
		}
	}
	expectNear(t, "share of lost datagrams", float64(lost)/draws, 0.3, 0.02)
	expectNear(t, "share of duplicated datagrams", float64(duplicated)/float64(draws-lost), 0.2, 0.02)
	expectNear(t, "mean delay of a datagram in us", delaySum/float64(draws-lost), 50_000, 0.02)

	link.SetFault(Fault{ReorderRate: 0.25})
	waiting, previousWaits := 0, false
	for i := range int64(draws) {
		d := link.ScheduleDatagram(1e12+i, 80)
		if d.AwaitsReorder {
			waiting++
		}
		if d.Overtakes != previousWaits {
			t.Fatal("Overtakes is wrong: want it set for each datagram after a waiting one, and for no other")
		}
		previousWaits = d.AwaitsReorder
	}
	expectNear(t, "share of reordered datagrams", float64(waiting)/draws, 0.25, 0.02)

	link.SetFault(Fault{BytesPerSecond: 10_000})
	at := Micros(0)
	for range 1000 {
		at = link.ScheduleSegment(2e12, 200, at)
	}
	expectNear(t, "transfer time of 200,000 bytes in us", float64(at-2e12), 20e6, 0.001)

	link.SetFault(Fault{LossRate: 0.5})
	sum := 0.0
	for i := range int64(draws) {
		sum += float64(link.ScheduleSegment(3e12+i, 10, 0) - 3e12 - i)
	}
	expected, probability := 0.0, 1.0
	for i := range maxRetransmits {
		probability *= 0.5
		expected += probability * float64(initialRetransmitDelay<<i)
	}
	expectNear(t, "mean delay of a segment in us at loss rate 0.5", sum/draws, expected, 0.05)
	for _, f := range []Fault{{Drop: true}, {Refuse: true}, {Blackhole: true}} {
		link.SetFault(f)
		if got := link.ScheduleDatagram(4e12, 1); got.Copies != 0 {
			t.Errorf("a datagram passes a link with the fault %+v", f)
		}
	}
	link.SetFault(Fault{})
	link.EndReorderWait()
	if d := link.ScheduleDatagram(5e12, 1); d != (Delivery{Copies: 1, DeliverAt: 5e12}) {
		t.Errorf("without a fault: got %+v, want one copy delivered at once", d)
	}
}
