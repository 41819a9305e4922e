package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"switchfork/internal/agent"
	"switchfork/internal/golden"
	"switchfork/internal/protocol"
)

// The agent's own responses stay the same byte for byte.
func TestGoldenReplies(t *testing.T) {
	var out strings.Builder
	write := func(title, text string) { fmt.Fprintf(&out, "== %s\n%q\n", title, text) }
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://client/", nil)
	if err != nil {
		t.Fatal(err)
	}
	done := &protocol.Response{Status: http.StatusOK, ContentType: "text/plain", Body: []byte("done")}
	for i, reply := range []agent.Reply{{Response: done}, {Rejected: true, RetryAfter: 1234567}, {Rejected: true}, {}} {
		var text strings.Builder
		response := replyResponse(reply, request)
		if err := response.Write(&text); err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close() // the body is in memory
		write(fmt.Sprintf("reply %d", i), text.String())
	}
	golden.Check(t, "requests.golden", out.String())
}
