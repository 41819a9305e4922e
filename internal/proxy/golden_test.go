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

// What is written stays as it was, byte by byte.
func TestGoldenReplies(t *testing.T) {
	var out strings.Builder
	write := func(what, text string) { fmt.Fprintf(&out, "== %s\n%q\n", what, text) }
	request, err := http.NewRequest(http.MethodGet, "http://client/", nil)
	if err != nil {
		t.Fatal(err)
	}
	done := &protocol.Response{Status: http.StatusOK, ContentType: "text/plain", Body: []byte("done")}
	for i, reply := range []agent.Reply{{Response: done}, {Rejected: true, RetryAfter: 1234567}, {Rejected: true}, {}} {
		var text strings.Builder
		if err := replyResponse(reply, request).Write(&text); err != nil {
			t.Fatal(err)
		}
		write(fmt.Sprintf("reply %d", i), text.String())
	}
	golden.Check(t, "requests.golden", out.String())
}
