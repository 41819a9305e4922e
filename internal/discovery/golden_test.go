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

// What is written stays as it was, byte by byte.
func TestGoldenRequests(t *testing.T) {
	var out strings.Builder
	write := func(what, text string) { fmt.Fprintf(&out, "== %s\n%q\n", what, text) }
	address, first := agenttest.Capture(t)
	loop := agent.NewLoop(&agenttest.Router{}, agent.NewClock())
	roster := NewClient(loop, address, nil, time.Second, 0, 1, 1)
	roster.now.whole = true
	roster.now.start(t.Context())
	write("list call", first())
	roster.now.stop()

	roster = NewClient(loop, address, nil, time.Second, 0, 1, 1)
	roster.now.seq = 77
	roster.now.start(t.Context())
	write("watch", first())
	roster.now.stop()
	golden.Check(t, "requests.golden", out.String())
}
