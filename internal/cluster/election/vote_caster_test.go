package election

import "testing"

// leaderForTest returns the vote caster of replica 0 of three, which wants to advance, and the leadership by which it casts.
func leaderForTest(leaseUntil Micros, disabled DisabledGuards) (*voteCaster, leadership) {
	v := newVoteCaster(Config{Settings: testSettings(), DisabledGuards: disabled})
	v.updateRollout(rolloutPosition{build: 4, stage: 1, isActive: true})
	v.recommendations.put(0, testRecord(Advance).Decision, second)
	held := &lease{disabled: disabled}
	held.startTerm(testTerm)
	held.grant(leaseUntil, InitialMembers(3))
	v.startTerm(second)
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

// A vote is cast when a quorum has acknowledged its record, once, and names a time before the lease's end until which it may be written.
func TestVoteIsCastWhenReplicated(t *testing.T) {
	const leaseUntil = 3 * second
	v, current := leaderForTest(leaseUntil, DisabledGuards{})
	out := &outbox{}
	v.runDue(second, current, out)
	if len(out.commands) != 2 || len(castVotes(out.commands)) != 0 {
		t.Fatalf("before a quorum knows the record: %+v, want it sent to two replicas", out.commands)
	}
	record := v.log.pending
	v.log.acknowledge(1, record)
	out.reset()
	v.runDue(second+ms, current, out)
	v.runDue(second+2*ms, current, out)
	casts := castVotes(out.commands)
	if len(casts) != 1 || casts[0].Record != record || casts[0].WriteBefore >= leaseUntil {
		t.Errorf("cast %+v, want %+v once, with a time before %d", casts, record, leaseUntil)
	}
}

// Without the time to write it before the lease is over a vote is not cast, nor one that no quorum knows, unless that guard is off.
func TestVoteNeedsLeaseAndQuorum(t *testing.T) {
	const tooShort = second + ms
	for name, tc := range map[string]struct {
		leaseUntil   Micros
		disabled     DisabledGuards
		isReplicated bool
		want         int
	}{
		"lease too short":                {leaseUntil: tooShort, isReplicated: true},
		"lease too short, guard off":     {leaseUntil: tooShort, disabled: DisabledGuards{LeaseTimeout: true}, isReplicated: true, want: 1},
		"not replicated":                 {leaseUntil: 3 * second},
		"not replicated, guard off":      {leaseUntil: 3 * second, disabled: DisabledGuards{QuorumBeforeCast: true}, want: 1},
		"replicated, lease long enough":  {leaseUntil: 3 * second, isReplicated: true, want: 1},
		"quorum guard off, lease is not": {leaseUntil: tooShort, disabled: DisabledGuards{QuorumBeforeCast: true}},
	} {
		v, current := leaderForTest(tc.leaseUntil, tc.disabled)
		out := &outbox{}
		v.runDue(second, current, out)
		if tc.isReplicated {
			v.log.acknowledge(1, v.log.pending)
		}
		v.runDue(second, current, out)
		if casts := castVotes(out.commands); len(casts) != tc.want {
			t.Errorf("%s: cast %+v, want %d", name, casts, tc.want)
		}
	}
}

// A decision that changes, or a rollout that moves on, before its record is replicated is never cast.
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
		t.Errorf("pending %+v, cast %+v", v.log.pending, castVotes(out.commands))
	}
	v.updateRollout(rolloutPosition{build: 4, stage: 2, isActive: true})
	if v.log.hasPending() {
		t.Errorf("%+v is pending after the rollout has moved on", v.log.pending)
	}
}
