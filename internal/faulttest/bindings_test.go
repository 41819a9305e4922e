package faulttest

import (
	"slices"
	"testing"
	"time"

	"switchfork/internal/faulttest/netfault"
)

// Agent sets and time references are resolved with the names that steps have bound.
func TestBindings(t *testing.T) {
	b := newBindings(4)
	b.agentNames["old"] = 2
	for _, c := range []struct {
		set  AgentSet
		want []int
	}{
		{AgentSet{}, []int{0, 1, 2, 3}},
		{AgentSet{Numbers: []int{3, 1}}, []int{1, 3}},
		{AgentSet{Name: "old"}, []int{2}},
		{AgentSet{Name: "old", Inverted: true}, []int{0, 1, 3}},
	} {
		if got := b.agentNumbers(c.set); !slices.Equal(got, c.want) {
			t.Errorf("agents of %+v: got %v, want %v", c.set, got, c.want)
		}
	}
	isOld := b.agentFilter(&AgentSet{Name: "old"})
	if all := b.agentFilter(nil); !all(0) || !all(3) || !isOld(2) || isOld(1) {
		t.Error("an agent filter accepts other agents than its set has")
	}

	b.marks[startMark], b.marks["cut"] = 5*second, 8*second
	for ref, want := range map[TimeRef]netfault.Micros{
		{Offset: 2 * time.Second}:              7 * second,
		{Mark: "cut"}:                          8 * second,
		{Mark: "cut", Offset: 2 * time.Second}: 10 * second,
	} {
		if got := b.resolveTime(ref); got != want {
			t.Errorf("time of %+v: got %d µs, want %d µs", ref, got, want)
		}
	}
}
