package upstream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"switchfork/internal/golden"
)

// What is written stays as it was, byte by byte.
func TestGoldenRequests(t *testing.T) {
	var out strings.Builder
	write := func(what, text string) { fmt.Fprintf(&out, "== %s\n%q\n", what, text) }
	for _, fields := range [][]string{nil, {"busy", "rate"}} {
		a := &Endpoint{pool: &Pool{fields: fields}, now: process{addr: "10.0.0.9:8000"}}
		write(fmt.Sprintf("health check with %d report fields", len(fields)), string(a.probing().Bytes(500*time.Millisecond)))
	}
	golden.Check(t, "requests.golden", out.String())
}
