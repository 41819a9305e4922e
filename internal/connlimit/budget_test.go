package connlimit

import "testing"

// Descriptors: clients leave appliances two fifths, and get no more until one is given back.
func TestBudget(t *testing.T) {
	b := NewBudget(20)
	for range 12 {
		if !b.AcquireClient() {
			t.Error("clients did not get twelve")
		}
	}
	if b.AcquireClient() || b.MaxRequests() != 10 {
		t.Errorf("clients got more, %d txns may be open", b.MaxRequests())
	}
	for range 8 {
		if !b.AcquireUpstream() {
			t.Error("appliances did not get what clients leave")
		}
	}
	if b.AcquireUpstream() {
		t.Error("appliances got more than there is")
	}
	b.Release(0, 1)
	if b.AcquireClient() {
		t.Error("clients took the appliances' part")
	}
	b.Release(1, 0)
	if !b.AcquireClient() || len(b.freed) != 1 {
		t.Error("what was given back is not to be had")
	}
}
