package election

import "testing"

const (
	firstCandidate  = 1
	secondCandidate = 2
)

func newTestAcceptor() acceptor { return newAcceptor(Config{Settings: testSettings()}) }

// ballotOf returns the ballot of an owner in a round.
func ballotOf(round uint64, owner int) uint64 { return round<<ballotOwnerBits | uint64(owner) }

// Only rising ballots are promised, and the same one again to its owner until it is accepted.
func TestAcceptorPromisesRisingBallots(t *testing.T) {
	a := newTestAcceptor()
	high, low := ballotOf(2, firstCandidate), ballotOf(1, secondCandidate)
	if !a.promise(second, firstCandidate, high, 0) {
		t.Fatal("the first ballot is not promised")
	}
	if a.promise(second, secondCandidate, low, 0) || !a.isSuperseded(low) {
		t.Error("a lower ballot is promised")
	}
	if !a.promise(second, firstCandidate, high, 0) {
		t.Error("a ballot that was sent again is not promised")
	}
	if a.promise(second, secondCandidate, high, 0) {
		t.Error("a ballot is promised to another than its owner")
	}
	if a.accept(second, secondCandidate, low) || !a.accept(second, firstCandidate, high) {
		t.Error("accepted a ballot below the one promised, or not that one")
	}
	if a.promise(second, firstCandidate, high, 0) {
		t.Error("a ballot is promised that was accepted already")
	}
}

// While an accepted lease runs nobody else is promised anything, unless its holder has given it up.
func TestAcceptorKeepsLease(t *testing.T) {
	first, next := ballotOf(1, firstCandidate), ballotOf(2, secondCandidate)
	accepted := func() acceptor {
		a := newTestAcceptor()
		if !a.promise(second, firstCandidate, first, 0) || !a.accept(second, firstCandidate, first) {
			t.Fatal("the first lease is not accepted")
		}
		return a
	}
	end := second + testSettings().Lease
	a := accepted()
	if a.promise(end-1, secondCandidate, next, 0) || !a.isLeaseInForce(end-1) {
		t.Error("another candidate is promised its ballot while the lease runs")
	}
	if !a.promise(end, secondCandidate, next, 0) {
		t.Error("no promise after the lease's end")
	}
	a = accepted()
	if !a.promise(end-1, firstCandidate, ballotOf(2, firstCandidate), 0) {
		t.Error("the holder is not promised its renewal")
	}
	a = accepted()
	if !a.promise(second, secondCandidate, next, first) {
		t.Error("no promise to a candidate that knows the lease to be given up")
	}
	if a.accept(second, firstCandidate, first) {
		t.Error("a lease is accepted that was given up")
	}
	a = accepted()
	if a.releaseLease(second, secondCandidate, first) || !a.isLeaseInForce(second) {
		t.Error("another than the holder has released the lease")
	}
	if !a.releaseLease(second, firstCandidate, first) || a.isLeaseInForce(second) || !a.promise(second, secondCandidate, next, 0) {
		t.Error("the lease runs after its holder has released it")
	}
	a = accepted()
	a.disabled.PromiseAfterLease = true
	if !a.promise(second, secondCandidate, next, 0) {
		t.Error("with the guard off no promise while the lease runs")
	}
}

// An acceptor that abstains answers nothing.
func TestAcceptorAbstains(t *testing.T) {
	a := newTestAcceptor()
	a.abstain(2 * second)
	ballot := ballotOf(1, firstCandidate)
	now := 2*second - 1
	if a.promise(now, firstCandidate, ballot, 0) || a.accept(now, firstCandidate, ballot) || a.acknowledgesRecord(now, ballot) ||
		a.acknowledgesMembers(now, ballot) || a.releaseLease(now, noReplica, ballot) {
		t.Errorf("it takes part while it abstains: %+v", a)
	}
	if !a.promise(now+1, firstCandidate, ballot, 0) {
		t.Error("no promise when it no longer abstains")
	}
}

// Acknowledging a record promises its ballot, so that an older leader's record is not acknowledged after it; acknowledging members
// promises nothing.
func TestAcceptorAcknowledges(t *testing.T) {
	a := newTestAcceptor()
	older, newer := ballotOf(1, firstCandidate), ballotOf(2, secondCandidate)
	if !a.acknowledgesMembers(second, newer) || !a.acknowledgesRecord(second, older) {
		t.Error("nothing is promised, and it does not acknowledge")
	}
	if !a.acknowledgesRecord(second, newer) || a.acknowledgesRecord(second, older) || a.acknowledgesMembers(second, older) {
		t.Error("it acknowledges an older leader after a newer one")
	}
}

// After a restart the accepted lease counts as new, by the slowest clock, unless it was given up before.
func TestAcceptorRestore(t *testing.T) {
	state := DurableState{Promised: ballotOf(3, firstCandidate), Accepted: ballotOf(2, firstCandidate), LeaseHolder: firstCandidate}
	a := newTestAcceptor()
	a.restore(state, second)
	end := second + testSettings().driftUpperBound(testSettings().Lease)
	if !a.isLeaseInForce(end-1) || a.isLeaseInForce(end) || a.leaseHolder != firstCandidate || a.highestPromised != state.Promised {
		t.Errorf("restored as %+v", a)
	}
	state.Released = state.Accepted
	a = newTestAcceptor()
	a.restore(state, second)
	if a.isLeaseInForce(second) {
		t.Error("a lease that was given up runs again")
	}
}
