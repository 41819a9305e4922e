package election

import "testing"

// A replica whose storage has failed never leads again. The test guards against a failure in which the disk of a candidate failed
// between the promises and the acceptances of its ballot. The replica withdrew and promised nothing more, but its ballot stayed
// open and won when a late Accepted message arrived. The replica then led and cast a vote. The coordinator stores nothing once a
// save has failed, so no record of such votes is kept. After a restart, the replica could answer the same vote differently, which
// the election must never allow.
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
		t.Fatal("the lease was not proposed after a quorum had promised")
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
		t.Error("the replica leads by a ballot that it started before its storage failed")
	}
	collect(replica.Recommend(now+ms, Decision{Build: 1, Stage: 0, Verdict: Rollback}))
	record := replica.votes.log.newest
	collect(replica.Receive(now+2*ms, peer, Message{Kind: Replicated, Ballot: ballot, Record: record}))
	if len(casts) > 0 {
		t.Errorf("got the votes %+v, which have no stored record, want none", casts)
	}
}
