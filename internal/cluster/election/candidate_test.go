package election

import "testing"

const testBallot = 256

func startedCandidate() candidate {
	c := newCandidate(Config{Settings: testSettings()})
	c.start(testBallot, InitialMembers(3), second)
	return c
}

// A ballot is proposed once, when a quorum has promised, and wins when a quorum has accepted.
func TestCandidateCountsQuorums(t *testing.T) {
	members := InitialMembers(3)
	c := startedCandidate()
	const nonMember = 9
	for _, from := range []int{0, 0, nonMember} {
		if c.addPromise(from, testBallot, members) {
			t.Errorf("one member's promise counts as a quorum, with the one from %d", from)
		}
	}
	if c.addPromise(1, testBallot+1, members) {
		t.Error("a promise of another ballot counts")
	}
	if m := c.messageToSend(second, 7); m != (Message{Kind: Prepare, Ballot: testBallot, ReleasedBallot: 7}) {
		t.Errorf("before a quorum has promised it sends %+v", m)
	}
	if !c.addPromise(1, testBallot, members) || c.addPromise(2, testBallot, members) {
		t.Error("not proposed once")
	}
	if m := c.messageToSend(second, 7); m != (Message{Kind: Propose, Ballot: testBallot}) {
		t.Errorf("when a quorum has promised it sends %+v", m)
	}
	if c.addAcceptance(second, 0, testBallot, members) || !c.addAcceptance(second, 1, testBallot, members) {
		t.Error("the ballot does not win by a quorum of acceptances")
	}
	if c.canWin(second, members, testBallot) {
		t.Error("a ballot that has won is pending")
	}
}

// Answers to a ballot that is void, or whose lease would be over, bring no lease.
func TestCandidateLateAnswers(t *testing.T) {
	members := InitialMembers(1)
	c := startedCandidate()
	if c.addAcceptance(c.leaseEnd(), 0, testBallot, members) {
		t.Error("a lease that is over is won")
	}
	if end := second + testSettings().driftLowerBound(testSettings().Lease); c.leaseEnd() != end || end >= second+testSettings().Lease {
		t.Errorf("the lease ends at %d, want %d", c.leaseEnd(), end)
	}
	c.abandon()
	if c.addPromise(0, testBallot, members) || c.addAcceptance(second, 0, testBallot, members) {
		t.Error("an answer to a void ballot counts")
	}
}

// A ballot is worth sending again until half a lease is over, other members are in force, or a higher ballot is known.
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
			t.Errorf("%s: can win is %t", name, got)
		}
	}
}

// The lease counts from the ballot's beginning, however often it is sent, unless that guard is off. A new ballot keeps what others have
// told of higher ones.
func TestCandidateSentAgain(t *testing.T) {
	for _, isDisabled := range []bool{false, true} {
		c := newCandidate(Config{Settings: testSettings(), DisabledGuards: DisabledGuards{LeaseFromStart: isDisabled}})
		c.observe(1000)
		c.start(testBallot, InitialMembers(3), second)
		before := c.leaseEnd()
		c.messageToSend(second+ms, 0)
		if moved := c.leaseEnd() != before; moved != isDisabled {
			t.Errorf("guard off %t: sent again, the lease's end has moved: %t", isDisabled, moved)
		}
		if c.isResendDue(second+ms) || !c.isResendDue(second+ms+testSettings().ballotResendInterval()) {
			t.Error("the ballot is not sent again at its interval")
		}
		if c.highestSeen != 1000 {
			t.Errorf("the highest ballot seen is %d", c.highestSeen)
		}
	}
}

// A campaign comes after a random delay of a thirtieth to a bit over a third of a lease.
func TestCampaignDelay(t *testing.T) {
	minDelay, jitter := testSettings().minCampaignDelay(), testSettings().maxCampaignJitter()
	for seed := range int64(100) {
		timer := newCampaignTimer(Config{Settings: testSettings(), Seed: seed})
		timer.reset(second)
		delay := timer.nextAt - second
		if delay < minDelay || delay >= minDelay+jitter {
			t.Fatalf("seed %d: a delay of %d us", seed, delay)
		}
		if timer.isDue(timer.nextAt-1) || !timer.isDue(timer.nextAt) {
			t.Fatalf("seed %d: not due at %d us", seed, timer.nextAt)
		}
	}
}

// A replica defers its campaign to each candidate once in two leases, and never makes it earlier.
func TestCampaignIsDeferredOnce(t *testing.T) {
	settings := testSettings()
	timer := newCampaignTimer(Config{Settings: settings})
	timer.deferTo(firstCandidate, second)
	first := timer.nextAt
	if first < second+settings.ballotTimeout() {
		t.Errorf("deferred until %d us only", first)
	}
	timer.deferTo(firstCandidate, second+settings.deferralInterval()-1)
	if timer.nextAt != first {
		t.Error("deferred to the same candidate twice in the interval")
	}
	timer.deferTo(secondCandidate, second+settings.Lease)
	if timer.nextAt <= first {
		t.Error("not deferred to another candidate")
	}
	timer.deferTo(firstCandidate, second+settings.deferralInterval())
	if timer.nextAt < second+settings.deferralInterval()+settings.ballotTimeout() {
		t.Error("not deferred to the same candidate after the interval")
	}
}
