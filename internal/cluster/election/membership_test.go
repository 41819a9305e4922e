package election

import (
	"errors"
	"testing"
)

// A set is a quorum with more than half of the members; replicas that are no members don't count.
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
			t.Errorf("%v of %d members is a quorum: %t", tc.replicas, tc.members, got)
		}
	}
}

// The next member in turn follows the highest number with the lowest, and skips who is no member.
func TestNextMember(t *testing.T) {
	members := Members{Mask: 0b101001}
	for after, want := range map[int]int{0: 3, 3: 5, 5: 0, 1: 3, MaxReplicas - 1: 0} {
		if got := members.next(after); got != want {
			t.Errorf("after %d comes %d, want %d", after, got, want)
		}
	}
	if got := (Members{}).next(4); got != 4 {
		t.Errorf("without members %d follows 4", got)
	}
}

// Members change one at a time, when a quorum knows the stamp of the term and the lease was granted among them.
func TestMembershipCheckChange(t *testing.T) {
	const term = 256
	m := membership{settings: testSettings(), current: InitialMembers(3)}
	if err := m.checkChange(0b1111, m.current); !errors.Is(err, ErrMembersPending) {
		t.Errorf("before the term has stamped them: %v", err)
	}
	m.stamp(term, 0b111, 0)
	stamped := m.current
	if want := (Members{Term: term, Version: 1, Mask: 0b111}); stamped != want {
		t.Fatalf("stamped as %+v, want %+v", stamped, want)
	}
	m.acknowledge(1, Members{})
	if err := m.checkChange(0b1111, stamped); !errors.Is(err, ErrMembersPending) {
		t.Errorf("with an acknowledgement of other members: %v", err)
	}
	m.acknowledge(1, stamped)
	if err := m.checkChange(0b1111, InitialMembers(3)); !errors.Is(err, ErrMembersPending) {
		t.Errorf("with a lease granted among other members: %v", err)
	}
	for _, mask := range []uint64{0, 0b111, 0b1, 0b11111} {
		if err := m.checkChange(mask, stamped); !errors.Is(err, ErrNotSingleChange) {
			t.Errorf("to %b: %v", mask, err)
		}
	}
	if err := m.checkChange(0b1111, stamped); err != nil {
		t.Errorf("one member more: %v", err)
	}
	m.stamp(term, 0b1111, 0)
	if want := (Members{Term: term, Version: 2, Mask: 0b1111}); m.current != want || m.isCommitted() {
		t.Errorf("after the change %+v are in force, committed: %t", m.current, m.isCommitted())
	}
}

// Newer members are adopted, and make this replica's own stamp void; older and equal ones change nothing.
func TestMembershipAdopt(t *testing.T) {
	m := membership{settings: testSettings(), current: InitialMembers(3)}
	m.stamp(256, 0b111, 0)
	m.acknowledge(1, m.current)
	for _, older := range []Members{{}, InitialMembers(5), m.current} {
		if m.adopt(older) || !m.isCommitted() {
			t.Errorf("%+v are adopted", older)
		}
	}
	newer := Members{Term: 513, Version: 1, Mask: 0b11}
	if !m.adopt(newer) || m.current != newer || m.isStamped {
		t.Errorf("newer members are not adopted: %+v", m)
	}
}
