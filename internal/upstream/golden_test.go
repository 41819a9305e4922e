package upstream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"switchfork/internal/golden"
)

// Encoded health check requests match the golden file byte for byte.
func TestGoldenRequests(t *testing.T) {
	var out strings.Builder
	write := func(what, text string) { fmt.Fprintf(&out, "== %s\n%q\n", what, text) }
	for _, fields := range [][]string{nil, {"busy", "rate"}} {
		w := &worker{pool: NewPool(Config{LoadReportFields: fields}), process: process{address: "10.0.0.9:8000"}}
		write(fmt.Sprintf("health check with %d report fields", len(fields)), string(w.healthCheckRequest().Bytes(500*time.Millisecond)))
	}
	golden.Check(t, "requests.golden", out.String())
}
