package election

import "testing"

const testBallot = 256

func startedCandidate() candidate {
	c := newCandidate(Config{Settings: testSettings()})
	c.start(testBallot, InitialMembers(3), second)
	return c
}

// A lease is proposed once, when a quorum has promised, and the ballot wins when a quorum has accepted.
func TestCandidateCountsQuorums(t *testing.T) {
	members := InitialMembers(3)
	c := startedCandidate()
	const nonMember = 9
	for _, from := range []int{0, 0, nonMember} {
		if c.addPromise(from, testBallot, members) {
			t.Errorf("one member's promise counts as a quorum after the promise from replica %d", from)
		}
	}
	if c.addPromise(1, testBallot+1, members) {
		t.Error("a promise of another ballot counts")
	}
	if m := c.messageToSend(second, 7); m != (Message{Kind: Prepare, Ballot: testBallot, ReleasedBallot: 7}) {
		t.Errorf("got the message %+v before a quorum has promised, want a Prepare", m)
	}
	if !c.addPromise(1, testBallot, members) || c.addPromise(2, testBallot, members) {
		t.Error("the lease was not proposed exactly once")
	}
	if m := c.messageToSend(second, 7); m != (Message{Kind: Propose, Ballot: testBallot}) {
		t.Errorf("got the message %+v after a quorum has promised, want a Propose", m)
	}
	if c.addAcceptance(second, 0, testBallot, members) || !c.addAcceptance(second, 1, testBallot, members) {
		t.Error("the ballot did not win exactly with a quorum of acceptances")
	}
	if c.canWin(second, members, testBallot) {
		t.Error("a ballot that has won still counts as pending")
	}
}

// Answers to a ballot that was abandoned, or whose lease would already have ended, bring no lease.
func TestCandidateLateAnswers(t *testing.T) {
	members := InitialMembers(1)
	c := startedCandidate()
	if c.addAcceptance(c.leaseEnd(), 0, testBallot, members) {
		t.Error("the ballot won a lease that would already have ended")
	}
	if end := second + testSettings().driftLowerBound(testSettings().Lease); c.leaseEnd() != end || end >= second+testSettings().Lease {
		t.Errorf("the lease ends at %d us, want %d us, before a full lease has passed", c.leaseEnd(), end)
	}
	c.abandon()
	if c.addPromise(0, testBallot, members) || c.addAcceptance(second, 0, testBallot, members) {
		t.Error("an answer to an abandoned ballot counts")
	}
}

// A ballot can no longer win once half a lease has passed, other members are in force, a higher ballot is known, or the ballot
// is abandoned.
func TestCandidateCanWin(t *testing.T) {
	members := InitialMembers(3)
	timeout := testSettings().ballotTimeout()
	for name, tc := range map[string]struct {
		change   func(*candidate)
		now      Micros
		members  Members
		promised uint64
		want     bool
	}{
		"in time":               {now: second + timeout - 1, members: members, promised: testBallot, want: true},
		"too late":              {now: second + timeout, members: members, promised: testBallot},
		"other members":         {now: second, members: InitialMembers(4), promised: testBallot},
		"higher ballot promise": {now: second, members: members, promised: testBallot + 1},
		"higher ballot seen":    {change: func(c *candidate) { c.observe(testBallot + 1) }, now: second, members: members},
		"lower ballot seen":     {change: func(c *candidate) { c.observe(testBallot - 1) }, now: second, members: members, want: true},
		"void":                  {change: func(c *candidate) { c.abandon() }, now: second, members: members},
	} {
		c := startedCandidate()
		if tc.change != nil {
			tc.change(&c)
		}
		if got := c.canWin(tc.now, tc.members, tc.promised); got != tc.want {
			t.Errorf("%s: canWin is %t, want the opposite", name, got)
		}
	}
}

// The lease counts from the start of the ballot, even if the ballot is sent again, unless the guard LeaseFromStart is off. The
// highest ballot that other replicas have named is kept when a new ballot is started.
func TestCandidateSentAgain(t *testing.T) {
	for _, isDisabled := range []bool{false, true} {
		c := newCandidate(Config{Settings: testSettings(), DisabledGuards: DisabledGuards{LeaseFromStart: isDisabled}})
		c.observe(1000)
		c.start(testBallot, InitialMembers(3), second)
		before := c.leaseEnd()
		c.messageToSend(second+ms, 0)
		if moved := c.leaseEnd() != before; moved != isDisabled {
			t.Errorf("guard off %t: the end of the lease moved when the ballot was sent again: got %t, want the opposite", isDisabled, moved)
		}
		if c.isResendDue(second+ms) || !c.isResendDue(second+ms+testSettings().ballotResendInterval()) {
			t.Error("sending the ballot again is not due exactly after the resend interval")
		}
		if c.highestSeen != 1000 {
			t.Errorf("the highest ballot seen is %d, want 1000", c.highestSeen)
		}
	}
}

// A campaign starts after a random delay between a thirtieth and a little over a third of a lease.
func TestCampaignDelay(t *testing.T) {
	minDelay, jitter := testSettings().minCampaignDelay(), testSettings().maxCampaignJitter()
	for seed := range int64(100) {
		timer := newCampaignTimer(Config{Settings: testSettings(), Seed: seed})
		timer.reset(second)
		delay := timer.nextAt - second
		if delay < minDelay || delay >= minDelay+jitter {
			t.Fatalf("seed %d: got a delay of %d us, want the shortest delay plus less than the jitter", seed, delay)
		}
		if timer.isDue(timer.nextAt-1) || !timer.isDue(timer.nextAt) {
			t.Fatalf("seed %d: the campaign is not due exactly from %d us on", seed, timer.nextAt)
		}
	}
}

// A replica defers its campaign to each candidate at most once in two leases. A deferral never makes the campaign earlier.
func TestCampaignIsDeferredOnce(t *testing.T) {
	settings := testSettings()
	timer := newCampaignTimer(Config{Settings: settings})
	timer.deferTo(firstCandidate, second)
	first := timer.nextAt
	if first < second+settings.ballotTimeout() {
		t.Errorf("the campaign was deferred until %d us, want at least until the candidate's ballot has timed out", first)
	}
	timer.deferTo(firstCandidate, second+settings.deferralInterval()-1)
	if timer.nextAt != first {
		t.Error("the campaign was deferred to the same candidate twice in one deferral interval")
	}
	timer.deferTo(secondCandidate, second+settings.Lease)
	if timer.nextAt <= first {
		t.Error("the campaign was not deferred to another candidate")
	}
	timer.deferTo(firstCandidate, second+settings.deferralInterval())
	if timer.nextAt < second+settings.deferralInterval()+settings.ballotTimeout() {
		t.Error("the campaign was not deferred to the same candidate again after the deferral interval")
	}
}
