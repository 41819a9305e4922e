package election

import "testing"

// A replica whose storage has failed never leads again. What happened: a candidate's disk fails between the promises and the acceptances of
// its ballot. The replica withdraws, which made it promise nothing more but left its ballot in hand; a late Accepted won that ballot, and
// since the coordinator stores nothing once a save has failed, the replica cast votes of which no record is kept. A trial showed IsLeader and
// a CastVote. After a restart such a replica could answer the same vote differently, which is what the election promises never to do.
func TestFailedStorageVoidsBallot(t *testing.T) {
	const peer = 1
	replica := New(Config{Members: InitialMembers(clusterSize), Settings: testSettings(), Now: second, Seed: 1})
	replica.UpdateRollout(second, 1, 0, true)
	now := second
	for ; replica.election.candidate.ballot == 0; now += tickInterval {
		replica.Tick(now)
	}
	ballot := replica.election.candidate.ballot
	replica.Receive(now, peer, Message{Kind: Promise, Ballot: ballot, Members: replica.election.membership.current})
	if !replica.election.candidate.hasProposed {
		t.Fatal("the ballot has not been proposed")
	}
	replica.StopParticipating(now)
	var casts []CastVote
	collect := func(commands []Command) {
		for _, command := range commands {
			if cast, ok := command.(CastVote); ok {
				casts = append(casts, cast)
			}
		}
	}
	collect(replica.Receive(now+ms, peer, Message{Kind: Accepted, Ballot: ballot, Members: replica.election.membership.current}))
	if replica.IsLeader(now + ms) {
		t.Error("leads by a ballot from before its storage failed")
	}
	collect(replica.Recommend(now+ms, Decision{Build: 1, Stage: 0, Verdict: Rollback}))
	record := replica.votes.log.newest
	collect(replica.Receive(now+2*ms, peer, Message{Kind: Replicated, Ballot: ballot, Record: record}))
	if len(casts) > 0 {
		t.Errorf("cast %+v without a stored record", casts)
	}
}
