package config

import (
	"strings"
	"testing"
	"time"
)

// The polling interval has an effect only if the endpoint list is polled.
func TestPollWithinRequiresSubscription(t *testing.T) {
	const lines = "Limits.DialTimeoutMs=250\nLimits.ConnIdleMs=30000\nSafety.AskWithinMs=10000\n"
	for discovery, want := range map[string]time.Duration{"subscribe": 10 * time.Second, "automatic": 0} {
		settings := ParsePairs(strings.Replace(validSettings, "subscribe", discovery, 1) + lines)
		if connections := settings.Connections(); connections.PollWithin != want || settings.Err() != nil {
			t.Errorf("%s: got polling interval %v, error %v, want 10 s for subscribe and 0 for automatic", discovery, connections.PollWithin, settings.Err())
		}
	}
}
