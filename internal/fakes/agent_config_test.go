package fakes

import (
	"strings"
	"testing"
	"time"

	"switchfork/internal/golden"
)

// The configuration file must not change by a single byte, because agents of all versions read it.
func TestAgentConfigFile(t *testing.T) {
	single := AgentConfig{
		Agents: 1, Build: 41, MemoryMB: 192,
		Addresses: AgentAddresses{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2", Rollout: "127.0.0.1:3"},
		Initial:   InitialState{Endpoints: ListDocument(1, true, ListEntry("s-1", "127.0.0.1:4", "active", 41))},
		Requests: RequestSettings{
			Tenants: []Tenant{{"acme", 0.7}, {"beqa", 0.3}}, LatencyObjective: 600 * time.Millisecond, Timeout: 2 * time.Second,
		},
	}
	withPeers := single
	withPeers.Index, withPeers.Agents = 1, 3
	withPeers.Peers = PeerAddresses{Listen: "127.0.0.1:5", Broadcast: "127.0.0.1:6", Peers: []string{"127.0.0.1:7", "127.0.0.1:8"}}
	withPeers.Initial.Rollout = RolloutJSON(42, 0, "testing", 0.2, time.Second)
	withPeers.Requests.HasNonIdempotent = true
	withoutBroadcast := withPeers
	withoutBroadcast.Peers.Broadcast = ""
	files := []string{single.File(), withPeers.File(), withoutBroadcast.File()}
	golden.Check(t, "agent_config.golden", strings.Join(files, "\n"))
}
