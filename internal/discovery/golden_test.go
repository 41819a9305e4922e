package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/agenttest"
	"switchfork/internal/golden"
)

// Requests to discovery match the golden file byte for byte.
func TestGoldenRequests(t *testing.T) {
	var out strings.Builder
	write := func(what, text string) { fmt.Fprintf(&out, "== %s\n%q\n", what, text) }
	address, first := agenttest.Capture(t)
	loop := agent.NewLoop(&agenttest.Router{}, agent.NewClock())
	client := NewClient(loop, Config{Address: address, DialTimeout: time.Second, AgentCount: 1, Seed: 1})
	client.current.needsFullList = true
	client.current.start(t.Context())
	write("list call", first())
	client.current.cancel()

	client = NewClient(loop, Config{Address: address, DialTimeout: time.Second, AgentCount: 1, Seed: 1})
	client.current.version = 77
	client.current.start(t.Context())
	write("watch", first())
	client.current.cancel()
	golden.Check(t, "requests.golden", out.String())
}
