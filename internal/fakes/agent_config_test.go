package fakes

import (
	"strings"
	"testing"
	"time"

	"switchfork/internal/golden"
)

// The configuration file keeps its bytes: agents of all versions read it.
func TestAgentConfigFile(t *testing.T) {
	sole := AgentConfig{
		Agents: 1, Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2", Rollout: "127.0.0.1:3", Build: 41, MemoryMB: 192,
		Tenants: []string{"acme", "beqa"}, Shares: []float64{0.7, 0.3}, LatencyObjective: 600 * time.Millisecond, Timeout: 2 * time.Second,
		Endpoints: ListDocument(1, true, ListEntry("s-1", "127.0.0.1:4", "active", 41)),
	}
	withPeers := sole
	withPeers.Index, withPeers.Agents = 1, 3
	withPeers.PeerListen, withPeers.PeersAll, withPeers.Peers = "127.0.0.1:5", "127.0.0.1:6", []string{"127.0.0.1:7", "127.0.0.1:8"}
	withPeers.RolloutState = RolloutJSON(42, 0, "testing", 0.2, time.Second)
	withPeers.HasNonIdempotent = true
	withoutBroadcast := withPeers
	withoutBroadcast.PeersAll = ""
	files := []string{sole.File(), withPeers.File(), withoutBroadcast.File()}
	golden.Check(t, "agent_config.golden", strings.Join(files, "\n"))
}
