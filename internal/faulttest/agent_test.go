package faulttest

import (
	"testing"

	"switchfork/internal/faulttest/netfault"
)

// The end of a connection counts as a kill also when the next process has started since; that of a process that was asked to end does
// not.
func TestWasKilledAfterRestart(t *testing.T) {
	group := &agentGroup{all: []*agent{{lifetimes: []ProcessLifetime{{Start: 10, End: 50, TermSentAt: -1}, {Start: 51, End: 80, TermSentAt: 70}, {Start: 81, End: -1, TermSentAt: -1}}}}}
	for at, want := range map[netfault.Micros]bool{20: true, 50: true, 60: false, 90: false} {
		if got := group.wasKilled(0, at); got != want {
			t.Errorf("a connection of %d: killed %v, want %v", at, got, want)
		}
	}
}
