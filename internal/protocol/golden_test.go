package protocol

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"switchfork/internal/golden"
)

// Encoded requests match the golden file byte for byte.
func TestGoldenRequests(t *testing.T) {
	var out strings.Builder
	write := func(what, text string) { fmt.Fprintf(&out, "== %s\n%q\n", what, text) }
	header := http.Header{"X-Request-Id": {"r-1"}, "Idempotency-Key": {"k"}, "X-Tenant": {"koro"}, "Accept": {"*/*"}, "Content-Type": {"text/plain"}}
	request := EncodeRequest(http.MethodPost, "/posting/a?sid=0011223344556677", "suva.example:80", header, []byte("body\n"))
	write("attempt", string(request.Bytes(1234567*time.Microsecond)))
	write("attempt with no time left", string(request.Bytes(-time.Second)))
	write("attempt without a body", string(EncodeRequest(http.MethodGet, "/lookup?sid=x", "h", http.Header{"X-Request-Id": {"r-2"}}, nil).Bytes(time.Second)))
	golden.Check(t, "requests.golden", out.String())
}
