package election

import "testing"

// A lease is valid until its end and keeps its term when it is renewed; without one there is no term.
func TestLeaseEndsInTime(t *testing.T) {
	l := lease{}
	if l.isValid(second) || l.currentTerm() != 0 || l.remaining(second) != 0 {
		t.Fatalf("a lease that was never granted: %+v", l)
	}
	l.startTerm(256)
	l.grant(2*second, InitialMembers(3))
	l.grant(3*second, InitialMembers(3))
	if !l.isValid(3*second-1) || l.isValid(3*second) || l.currentTerm() != 256 || l.remaining(second) != 2*second {
		t.Errorf("a renewed lease: %+v", l)
	}
	if l.expire(3*second - 1) {
		t.Error("expired before its end")
	}
	if !l.expire(3*second) || l.isGranted() || l.expire(3*second) {
		t.Errorf("not expired once at its end: %+v", l)
	}
}

// What ends a lease and allows no late write has no effect where the guard is off; giving it up always has.
func TestLeaseWithoutTimeout(t *testing.T) {
	for _, isDisabled := range []bool{false, true} {
		l := lease{disabled: DisabledGuards{LeaseTimeout: isDisabled}}
		l.grant(2*second, InitialMembers(3))
		if got := l.allowsWriteBefore(2*second, 2*second); got != isDisabled {
			t.Errorf("guard off %t: a late write allowed: %t", isDisabled, got)
		}
		if got := l.isValid(3 * second); got != isDisabled {
			t.Errorf("guard off %t: valid after its end: %t", isDisabled, got)
		}
		l.revoke()
		if got := l.isGranted(); got != isDisabled {
			t.Errorf("guard off %t: granted after it was revoked: %t", isDisabled, got)
		}
		l.release()
		if l.isGranted() {
			t.Errorf("guard off %t: granted after it was given up", isDisabled)
		}
	}
}
