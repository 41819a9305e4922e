package election

import (
	"errors"
	"testing"
)

// A set is a quorum if it holds more than half of the members. Replicas that are not members don't count.
func TestQuorum(t *testing.T) {
	const nonMember = 63
	for _, tc := range []struct {
		members  int
		replicas []int
		want     bool
	}{
		{1, []int{0}, true},
		{1, []int{nonMember}, false},
		{2, []int{0}, false},
		{3, []int{0, 2}, true},
		{3, []int{0, nonMember}, false},
		{4, []int{0, 1}, false},
		{4, []int{0, 1, 3}, true},
	} {
		set := replicaSet(0)
		for _, replica := range tc.replicas {
			set = set.with(replica).with(replica)
		}
		if got := set.isQuorumOf(InitialMembers(tc.members)); got != tc.want {
			t.Errorf("replicas %v are a quorum of %d members: got %t, want the opposite", tc.replicas, tc.members, got)
		}
	}
}

// After the member with the highest ID, the next member is the one with the lowest ID. Replicas that are not members are skipped.
func TestNextMember(t *testing.T) {
	members := Members{Mask: 0b101001}
	for after, want := range map[int]int{0: 3, 3: 5, 5: 0, 1: 3, MaxReplicas - 1: 0} {
		if got := members.next(after); got != want {
			t.Errorf("the next member after replica %d is %d, want %d", after, got, want)
		}
	}
	if got := (Members{}).next(4); got != 4 {
		t.Errorf("the next member after replica 4 without any members is %d, want 4", got)
	}
}

// Members change one at a time. The current members can be changed only once a quorum knows them as stamped in the current term,
// and only if the lease was granted among them.
func TestMembershipCheckChange(t *testing.T) {
	const term = 256
	m := membership{settings: testSettings(), current: InitialMembers(3)}
	if err := m.checkChange(0b1111, m.current); !errors.Is(err, ErrMembersPending) {
		t.Errorf("before the members are stamped in the term: got %v, want ErrMembersPending", err)
	}
	m.stamp(term, 0b111, 0)
	stamped := m.current
	if want := (Members{Term: term, Version: 1, Mask: 0b111}); stamped != want {
		t.Fatalf("got the stamped members %+v, want %+v", stamped, want)
	}
	m.acknowledge(1, Members{})
	if err := m.checkChange(0b1111, stamped); !errors.Is(err, ErrMembersPending) {
		t.Errorf("after an acknowledgement of other members: got %v, want ErrMembersPending", err)
	}
	m.acknowledge(1, stamped)
	if err := m.checkChange(0b1111, InitialMembers(3)); !errors.Is(err, ErrMembersPending) {
		t.Errorf("with a lease granted among other members: got %v, want ErrMembersPending", err)
	}
	for _, mask := range []uint64{0, 0b111, 0b1, 0b11111} {
		if err := m.checkChange(mask, stamped); !errors.Is(err, ErrNotSingleChange) {
			t.Errorf("change to mask %b: got %v, want ErrNotSingleChange", mask, err)
		}
	}
	if err := m.checkChange(0b1111, stamped); err != nil {
		t.Errorf("change to one member more: got %v, want no error", err)
	}
	m.stamp(term, 0b1111, 0)
	if want := (Members{Term: term, Version: 2, Mask: 0b1111}); m.current != want || m.isCommitted() {
		t.Errorf("after the change: got the members %+v, committed: %t, want version 2 with the mask 1111, not committed", m.current, m.isCommitted())
	}
}

// Newer members are adopted, and this replica's own stamp no longer applies. Older and equal members change nothing.
func TestMembershipAdopt(t *testing.T) {
	m := membership{settings: testSettings(), current: InitialMembers(3)}
	m.stamp(256, 0b111, 0)
	m.acknowledge(1, m.current)
	for _, older := range []Members{{}, InitialMembers(5), m.current} {
		if m.adopt(older) || !m.isCommitted() {
			t.Errorf("the members %+v, which are not newer, were adopted or ended the commitment", older)
		}
	}
	newer := Members{Term: 513, Version: 1, Mask: 0b11}
	if !m.adopt(newer) || m.current != newer || m.isStamped {
		t.Errorf("got %+v, want the newer members adopted and not stamped", m)
	}
}
