package agent

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"switchfork/internal/golden"
	"switchfork/internal/policy"
)

// capture takes connections, keeps the first bytes of each, and closes it.
func capture(t *testing.T) (address string, first func() string) {
	t.Helper()
	l := listen(t)
	got := make(chan string, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			raw := make([]byte, 4096)
			c.SetReadDeadline(time.Now().Add(patience))
			n, _ := c.Read(raw)
			got <- string(raw[:n])
			c.Close()
		}
	}()
	return l.Addr().String(), func() string {
		select {
		case text := <-got:
			return strings.ReplaceAll(text, l.Addr().String(), "HOST:PORT")
		case <-time.After(patience):
			t.Fatal("nothing was written")
			return ""
		}
	}
}

// What the agent writes to each party stays as it was, byte by byte.
func TestGoldenRequests(t *testing.T) {
	var out strings.Builder
	write := func(what, text string) { fmt.Fprintf(&out, "== %s\n%q\n", what, text) }
	header := http.Header{"X-Request-Id": {"r-1"}, "Idempotency-Key": {"k"}, "X-Tenant": {"koro"}, "Accept": {"*/*"}, "Content-Type": {"text/plain"}}
	p := EncodeRequest(http.MethodPost, "/posting/a?sid=0011223344556677", "suva.example:80", header, []byte("body\n"))
	write("attempt", string(p.Bytes(1234567*time.Microsecond)))
	write("attempt out of time", string(p.Bytes(-time.Second)))
	write("attempt without a body", string(EncodeRequest(http.MethodGet, "/lookup?sid=x", "h", http.Header{"X-Request-Id": {"r-2"}}, nil).Bytes(time.Second)))

	address, first := capture(t)
	for _, fields := range [][]string{nil, {"busy", "rate"}} {
		a := &Endpoint{pool: &Pool{fields: fields}, now: process{addr: "10.0.0.9:8000"}}
		write(fmt.Sprintf("health check with %d report fields", len(fields)), string(a.probing().Bytes(500*time.Millisecond)))
	}

	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	core := NewLoop(nil, NewClock())
	roster := NewClient(core, address, nil, time.Second, 0, 1, 1)
	roster.now.whole = true
	roster.now.start(ctx)
	write("list call", first())
	roster.now.stop()

	roster = NewClient(core, address, nil, time.Second, 0, 1, 1)
	roster.now.seq = 77
	roster.now.start(ctx)
	write("watch", first())
	roster.now.stop()

	address, first = capture(t)
	launcher := NewRolloutClient(core, address, time.Second, patience, 1)
	s := launcher.open(ctx, 0)
	write("news", first())
	s.stop()

	address, first = capture(t)
	launcher = NewRolloutClient(core, address, time.Second, patience, 1)
	for v := policy.NoVote; v <= policy.RollBack; v++ {
		launcher.cast(ctx, launcher.base, policy.Vote{Build: 42, Stage: 3, Verdict: v})
		write(fmt.Sprintf("vote %d", v), first())
	}
	launcher.dated(ctx, launcher.base, TimedVote{Vote: policy.Vote{Build: 43, Stage: 1, Verdict: policy.RollBack}, WriteBefore: time.Now().Add(patience), Resolved: func(bool) {}})
	write("dated vote", first())

	request, err := http.NewRequest(http.MethodGet, "http://client/", nil)
	if err != nil {
		t.Fatal(err)
	}
	for i, r := range []Reply{{Response: &Response{Status: 200, ContentType: "text/plain", Body: []byte("done")}}, {Rejected: true, RetryAfter: 1234567}, {Rejected: true}, {}} {
		var text strings.Builder
		if err := replyResponse(r, request).Write(&text); err != nil {
			t.Fatal(err)
		}
		write(fmt.Sprintf("reply %d", i), text.String())
	}
	golden.Check(t, "requests.golden", out.String())
}
