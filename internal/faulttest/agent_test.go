package faulttest

import (
	"testing"

	"switchfork/internal/faulttest/netfault"
)

// A connection to a killed process counts as ended by the kill even if the agent's next process has started since. A connection to a
// process that was sent SIGTERM does not count as ended by a kill.
func TestWasKilledAfterRestart(t *testing.T) {
	group := &agentGroup{all: []*agent{{lifetimes: []ProcessLifetime{{Start: 10, End: 50, TermSentAt: -1}, {Start: 51, End: 80, TermSentAt: 70}, {Start: 81, End: -1, TermSentAt: -1}}}}}
	for at, want := range map[netfault.Micros]bool{20: true, 50: true, 60: false, 90: false} {
		if got := group.wasKilled(0, at); got != want {
			t.Errorf("connection dialed at %d: got killed %v, want %v", at, got, want)
		}
	}
}
