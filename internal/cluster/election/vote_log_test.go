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
			t.Errorf("got the newest record %+v after learning an older one, want %+v", l.newest, newest)
		}
	}
	newer := Record{Term: 2 * testTerm, Index: 4}
	if l.learn(newer); l.newest != newer {
		t.Errorf("got the newest record %+v, want %+v", l.newest, newer)
	}
}

// A record is replicated once a quorum, which includes the leader, has acknowledged that record and not another one. Each record
// has its own index.
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
		t.Fatalf("got the pending record %+v after %+v and the newest %+v, want the next index, and the pending record as the newest", l.pending, first, l.newest)
	}
	if l.acknowledge(1, first); l.isReplicated(members) {
		t.Error("an acknowledgement of another record counts")
	}
	if l.acknowledge(1, l.pending); !l.isReplicated(members) {
		t.Error("the record is not replicated although two of three replicas know it")
	}
	if l.discardPending(); l.hasPending() || l.newest.Verdict != Advance {
		t.Errorf("after the record was discarded: got the pending record %+v and the newest %+v, want none and the advance", l.pending, l.newest)
	}
}
