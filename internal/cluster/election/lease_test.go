package election

import "testing"

// A lease is valid until its end, and keeps its term when it is renewed. Without a lease there is no term.
func TestLeaseEndsInTime(t *testing.T) {
	l := lease{}
	if l.isValid(second) || l.currentTerm() != 0 || l.remaining(second) != 0 {
		t.Fatalf("a lease that was never granted is valid, or has a term or time remaining: %+v", l)
	}
	l.startTerm(256)
	l.grant(2*second, InitialMembers(3))
	l.grant(3*second, InitialMembers(3))
	if !l.isValid(3*second-1) || l.isValid(3*second) || l.currentTerm() != 256 || l.remaining(second) != 2*second {
		t.Errorf("got %+v after the renewal, want a lease until 3 s in term 256", l)
	}
	if l.expire(3*second - 1) {
		t.Error("the lease expired before its end")
	}
	if !l.expire(3*second) || l.isGranted() || l.expire(3*second) {
		t.Errorf("the lease did not expire exactly once at its end: %+v", l)
	}
}

// With the guard LeaseTimeout off, a lease does not time out, is not revoked, and allows late writes. Releasing it always takes
// effect.
func TestLeaseWithoutTimeout(t *testing.T) {
	for _, isDisabled := range []bool{false, true} {
		l := lease{disabled: DisabledGuards{LeaseTimeout: isDisabled}}
		l.grant(2*second, InitialMembers(3))
		if got := l.allowsWriteBefore(2*second, 2*second); got != isDisabled {
			t.Errorf("guard off %t: a late write is allowed: got %t, want the opposite", isDisabled, got)
		}
		if got := l.isValid(3 * second); got != isDisabled {
			t.Errorf("guard off %t: valid after its end: got %t, want the opposite", isDisabled, got)
		}
		l.revoke()
		if got := l.isGranted(); got != isDisabled {
			t.Errorf("guard off %t: granted after it was revoked: got %t, want the opposite", isDisabled, got)
		}
		l.release()
		if l.isGranted() {
			t.Errorf("guard off %t: granted after it was released", isDisabled)
		}
	}
}
