package election

import "testing"

const (
	firstCandidate  = 1
	secondCandidate = 2
)

func newTestAcceptor() acceptor { return newAcceptor(Config{Settings: testSettings()}) }

// ballotOf returns the owner's ballot in a round.
func ballotOf(round uint64, owner int) uint64 { return round<<ballotOwnerBits | uint64(owner) }

// Only rising ballots are promised. The same ballot is promised again to its owner until it is accepted.
func TestAcceptorPromisesRisingBallots(t *testing.T) {
	a := newTestAcceptor()
	high, low := ballotOf(2, firstCandidate), ballotOf(1, secondCandidate)
	if !a.promise(second, firstCandidate, high, 0) {
		t.Fatal("the first ballot was not promised")
	}
	if a.promise(second, secondCandidate, low, 0) || !a.isSuperseded(low) {
		t.Error("a lower ballot was promised or does not count as superseded")
	}
	if !a.promise(second, firstCandidate, high, 0) {
		t.Error("a ballot that was sent again was not promised")
	}
	if a.promise(second, secondCandidate, high, 0) {
		t.Error("a ballot was promised to a replica other than its owner")
	}
	if a.accept(second, secondCandidate, low) || !a.accept(second, firstCandidate, high) {
		t.Error("a ballot below the promised one was accepted, or the promised one was not")
	}
	if a.promise(second, firstCandidate, high, 0) {
		t.Error("a ballot was promised again after it was accepted")
	}
}

// While an accepted lease is in force, only its holder is promised a ballot, unless the holder has released the lease.
func TestAcceptorKeepsLease(t *testing.T) {
	first, next := ballotOf(1, firstCandidate), ballotOf(2, secondCandidate)
	accepted := func() acceptor {
		a := newTestAcceptor()
		if !a.promise(second, firstCandidate, first, 0) || !a.accept(second, firstCandidate, first) {
			t.Fatal("the first lease was not accepted")
		}
		return a
	}
	end := second + testSettings().Lease
	a := accepted()
	if a.promise(end-1, secondCandidate, next, 0) || !a.isLeaseInForce(end-1) {
		t.Error("another candidate was promised its ballot while the lease should be in force, or the lease ended early")
	}
	if !a.promise(end, secondCandidate, next, 0) {
		t.Error("no promise to another candidate after the lease has ended")
	}
	a = accepted()
	if !a.promise(end-1, firstCandidate, ballotOf(2, firstCandidate), 0) {
		t.Error("the holder of the lease was not promised a renewal")
	}
	a = accepted()
	if !a.promise(second, secondCandidate, next, first) {
		t.Error("no promise to a candidate that knows the lease to be released")
	}
	if a.accept(second, firstCandidate, first) {
		t.Error("a lease was accepted after it had been released")
	}
	a = accepted()
	if a.releaseLease(second, secondCandidate, first) || !a.isLeaseInForce(second) {
		t.Error("a replica other than the holder released the lease")
	}
	if !a.releaseLease(second, firstCandidate, first) || a.isLeaseInForce(second) || !a.promise(second, secondCandidate, next, 0) {
		t.Error("the lease is still in force or prevents a promise after its holder has released it")
	}
	a = accepted()
	a.disabled.PromiseAfterLease = true
	if !a.promise(second, secondCandidate, next, 0) {
		t.Error("no promise while the lease is in force, although the guard is off")
	}
}

// An acceptor that has lost its state promises, accepts, acknowledges and releases nothing. It takes part again once the rollout controller has
// answered a call that began after all leases that it may have accepted, and the votes cast under them no longer count.
func TestAcceptorAbstains(t *testing.T) {
	a := newTestAcceptor()
	a.loseState(second)
	ballot := ballotOf(1, firstCandidate)
	leaseEnd := second + testSettings().driftUpperBound(testSettings().Lease)
	answeredAt := leaseEnd + 100*second
	a.observeAnswer(answeredAt, leaseEnd-1)
	if !a.isAbstaining(answeredAt+testSettings().effectWindow()) || a.needsAnswer(leaseEnd-1) || !a.needsAnswer(leaseEnd) {
		t.Errorf("the acceptor does not wait for the answer to a call that begins after the last lease: %+v", a)
	}
	a.observeAnswer(answeredAt, leaseEnd)
	now := answeredAt + testSettings().effectWindow() - 1
	if a.promise(now, firstCandidate, ballot, 0) || a.accept(now, firstCandidate, ballot) || a.acknowledgesRecord(now, ballot) ||
		a.acknowledgesMembers(now, ballot) || a.releaseLease(now, noReplica, ballot) {
		t.Errorf("the acceptor takes part while it abstains: %+v", a)
	}
	if !a.promise(now+1, firstCandidate, ballot, 0) {
		t.Error("no promise after the acceptor has stopped abstaining")
	}
}

// Acknowledging a record promises its ballot, so that an older leader's record is not acknowledged afterwards. Acknowledging
// members promises nothing.
func TestAcceptorAcknowledges(t *testing.T) {
	a := newTestAcceptor()
	older, newer := ballotOf(1, firstCandidate), ballotOf(2, secondCandidate)
	if !a.acknowledgesMembers(second, newer) || !a.acknowledgesRecord(second, older) {
		t.Error("a record or members were not acknowledged, although nothing was promised")
	}
	if !a.acknowledgesRecord(second, newer) || a.acknowledgesRecord(second, older) || a.acknowledgesMembers(second, older) {
		t.Error("a newer leader was not acknowledged, or an older one was acknowledged after it")
	}
}

// After a restart, the accepted lease is in force for a full lease by the slowest clock, unless it was released before.
func TestAcceptorRestore(t *testing.T) {
	state := DurableState{Promised: ballotOf(3, firstCandidate), Accepted: ballotOf(2, firstCandidate), LeaseHolder: firstCandidate}
	a := newTestAcceptor()
	a.restore(state, second)
	end := second + testSettings().driftUpperBound(testSettings().Lease)
	if !a.isLeaseInForce(end-1) || a.isLeaseInForce(end) || a.leaseHolder != firstCandidate || a.highestPromised != state.Promised {
		t.Errorf("got the acceptor %+v, want the promise and the holder restored and a full lease in force", a)
	}
	state.Released = state.Accepted
	a = newTestAcceptor()
	a.restore(state, second)
	if a.isLeaseInForce(second) {
		t.Error("a released lease is in force again after the restart")
	}
}
