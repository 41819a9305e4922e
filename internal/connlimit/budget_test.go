package connlimit

import "testing"

// Descriptors: clients leave appliances two fifths, and get no more until one is given back.
func TestPurse(t *testing.T) {
	p := NewBudget(20)
	for range 12 {
		if !p.AcquireClient() {
			t.Error("clients did not get twelve")
		}
	}
	if p.AcquireClient() || p.MaxRequests() != 10 {
		t.Errorf("clients got more, %d txns may be open", p.MaxRequests())
	}
	for range 8 {
		if !p.AcquireUpstream() {
			t.Error("appliances did not get what clients leave")
		}
	}
	if p.AcquireUpstream() {
		t.Error("appliances got more than there is")
	}
	p.Release(0, 1)
	if p.AcquireClient() {
		t.Error("clients took the appliances' part")
	}
	p.Release(1, 0)
	if !p.AcquireClient() || len(p.freed) != 1 {
		t.Error("what was given back is not to be had")
	}
}
