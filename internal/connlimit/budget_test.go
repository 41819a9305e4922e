package connlimit

import "testing"

// Clients leave two fifths of the descriptors to endpoints. When clients hold their share, they get another descriptor only after a
// client's descriptor is released.
func TestBudget(t *testing.T) {
	b := NewBudget(20)
	for range 12 {
		if !b.AcquireClient() {
			t.Error("clients did not get twelve connections")
		}
	}
	if b.AcquireClient() || b.MaxRequests() != 10 {
		t.Errorf("clients got more than their share, or MaxRequests is %d, want 10", b.MaxRequests())
	}
	for range 8 {
		if !b.AcquireUpstream() {
			t.Error("endpoints did not get the descriptors that clients leave")
		}
	}
	if b.AcquireUpstream() {
		t.Error("endpoints got more than the limit")
	}
	b.ReleaseUpstream()
	if b.AcquireClient() {
		t.Error("a client took a descriptor of the endpoints' share")
	}
	b.ReleaseClient()
	if !b.AcquireClient() || len(b.freed) != 1 {
		t.Error("a released descriptor can't be acquired")
	}
}
