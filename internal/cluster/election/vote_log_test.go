package election

import "testing"

const testTerm = 256

func testRecord(verdict Verdict) Record {
	return Record{Term: testTerm, Decision: Decision{Build: 4, Stage: 1, Verdict: verdict}}
}

// The log keeps the newest record of any leader, by term and then by index.
func TestVoteLogLearnsNewest(t *testing.T) {
	l := voteLog{settings: testSettings()}
	newest := Record{Term: 2 * testTerm, Index: 3}
	l.learn(newest)
	for _, older := range []Record{{}, {Term: testTerm, Index: 9}, {Term: 2 * testTerm, Index: 2}} {
		if l.learn(older); l.newest != newest {
			t.Errorf("%+v has replaced %+v", l.newest, newest)
		}
	}
	newer := Record{Term: 2 * testTerm, Index: 4}
	if l.learn(newer); l.newest != newer {
		t.Errorf("%+v is kept, want %+v", l.newest, newer)
	}
}

// A record is replicated when a quorum, the leader among it, has acknowledged that very record. Each has its own index.
func TestVoteLogCountsAcknowledgements(t *testing.T) {
	members := InitialMembers(3)
	l := voteLog{settings: testSettings()}
	if l.hasPending() {
		t.Error("a new log has a pending record")
	}
	l.append(0, testRecord(Hold))
	first := l.pending
	l.append(0, testRecord(Advance))
	if !l.hasPending() || l.pending.Index != first.Index+1 || l.newest != l.pending {
		t.Fatalf("appended as %+v after %+v, the newest is %+v", l.pending, first, l.newest)
	}
	if l.acknowledge(1, first); l.isReplicated(members) {
		t.Error("an acknowledgement of another record counts")
	}
	if l.acknowledge(1, l.pending); !l.isReplicated(members) {
		t.Error("not replicated with two of three")
	}
	if l.discardPending(); l.hasPending() || l.newest.Verdict != Advance {
		t.Errorf("after it was given up, %+v is pending, the newest is %+v", l.pending, l.newest)
	}
}
