package election

import "testing"

// leaderForTest returns the vote caster of replica 0 of three, and a leadership under which it casts votes. The replica's release
// analyzer recommends to advance.
func leaderForTest(leaseUntil Micros, disabled DisabledGuards) (*voteCaster, leadership) {
	v := newVoteCaster(Config{Settings: testSettings(), DisabledGuards: disabled})
	v.updateRollout(rolloutPosition{build: 4, stage: 1, isActive: true})
	v.recommendations.put(0, testRecord(Advance).Decision, second)
	held := &lease{disabled: disabled}
	held.startTerm(testTerm)
	held.grant(leaseUntil, InitialMembers(3))
	v.startTerm(second, second)
	return &v, leadership{lease: held, ballot: testTerm, members: InitialMembers(3)}
}

func castVotes(commands []Command) (casts []CastVote) {
	for _, command := range commands {
		if cast, ok := command.(CastVote); ok {
			casts = append(casts, cast)
		}
	}
	return casts
}

// A vote is cast once, when a quorum has acknowledged its record. The time before which the vote has to be written is earlier
// than the end of the lease.
func TestVoteIsCastWhenReplicated(t *testing.T) {
	const leaseUntil = 3 * second
	v, current := leaderForTest(leaseUntil, DisabledGuards{})
	out := &outbox{}
	v.runDue(second, current, out)
	if len(out.commands) != 2 || len(castVotes(out.commands)) != 0 {
		t.Fatalf("got the commands %+v before a quorum knows the record, want it sent to two replicas", out.commands)
	}
	record := v.log.pending
	v.log.acknowledge(1, record)
	out.reset()
	v.runDue(second+ms, current, out)
	v.runDue(second+2*ms, current, out)
	casts := castVotes(out.commands)
	if len(casts) != 1 || casts[0].Record != record || casts[0].WriteBefore >= leaseUntil {
		t.Errorf("got the votes %+v, want %+v once, with a WriteBefore earlier than %d us", casts, record, leaseUntil)
	}
}

// A vote is not cast if the lease leaves no time to write it, or if no quorum knows its record, unless the respective guard is
// off.
func TestVoteNeedsLeaseAndQuorum(t *testing.T) {
	const tooShort = second + ms
	for name, tc := range map[string]struct {
		leaseUntil   Micros
		disabled     DisabledGuards
		isReplicated bool
		want         int
	}{
		"lease too short":                   {leaseUntil: tooShort, isReplicated: true},
		"lease too short, guard off":        {leaseUntil: tooShort, disabled: DisabledGuards{LeaseTimeout: true}, isReplicated: true, want: 1},
		"not replicated":                    {leaseUntil: 3 * second},
		"not replicated, guard off":         {leaseUntil: 3 * second, disabled: DisabledGuards{QuorumBeforeCast: true}, want: 1},
		"replicated, lease long enough":     {leaseUntil: 3 * second, isReplicated: true, want: 1},
		"lease too short, quorum guard off": {leaseUntil: tooShort, disabled: DisabledGuards{QuorumBeforeCast: true}},
	} {
		v, current := leaderForTest(tc.leaseUntil, tc.disabled)
		out := &outbox{}
		v.runDue(second, current, out)
		if tc.isReplicated {
			v.log.acknowledge(1, v.log.pending)
		}
		v.runDue(second, current, out)
		if casts := castVotes(out.commands); len(casts) != tc.want {
			t.Errorf("%s: got the votes %+v, want %d", name, casts, tc.want)
		}
	}
}

// A pending decision is never cast if the recommendation changes, or the rollout moves on, before the decision is replicated.
func TestPendingVoteIsDiscarded(t *testing.T) {
	v, current := leaderForTest(3*second, DisabledGuards{})
	out := &outbox{}
	v.runDue(second, current, out)
	advanceRecord := v.log.pending
	v.recommendations.put(0, testRecord(Rollback).Decision, second)
	v.runDue(second, current, out)
	v.log.acknowledge(1, advanceRecord)
	v.runDue(second, current, out)
	if v.log.pending.Verdict != Rollback || len(castVotes(out.commands)) != 0 {
		t.Errorf("got the pending record %+v and the votes %+v, want a pending rollback and no vote", v.log.pending, castVotes(out.commands))
	}
	v.updateRollout(rolloutPosition{build: 4, stage: 2, isActive: true})
	if v.log.hasPending() {
		t.Errorf("%+v is still pending after the rollout has moved on", v.log.pending)
	}
}
