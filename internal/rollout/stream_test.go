package rollout

import (
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
)

// A stream that ends, or on which a line can't be parsed, is opened again. If a stream is silent, another one is opened to replace it.
func TestStreamIsReopened(t *testing.T) {
	server := agenttest.NewStreamServer(t, ":\n", 100*time.Millisecond, func(string) string {
		return fakes.RolloutEvent(42, 0, "testing", 0.1)
	})
	r := newRig(t, server.Addr())
	go r.client.Serve(r.Context())
	r.awaitUpdates(t, "the state on the first stream", 1)
	server.Publish("event: OTHER\ndata: image=1\n\n" + fakes.RolloutEvent(42, 1, "recalling", 0))
	r.awaitUpdates(t, "an update", 2)
	for i, c := range []struct {
		malformed string
		isCutOff  bool // the server closes the stream
	}{
		{"event: ROLLOUT\ndata: image=x&ring=0\n\n", false},
		{"noise\n", false},
		{"event: ROLLOUT\ndata: image=42&ring=1&progress=testing&ceiling=0.2", true}, // can be parsed, but may be incomplete
	} {
		server.Publish(c.malformed)
		if c.isCutOff {
			server.CloseStreams()
		}
		r.awaitUpdates(t, "the state on a new stream", 3+i)
	}
	server.SetMuted(true)
	r.awaitUpdates(t, "the state on a stream that replaces the silent one", 6)
	if got := r.updates()[1]; got.Phase != policy.RollingBack || got.Stage != 1 || got.Age != 9000 || got.IsVoteReply {
		t.Errorf("got update %+v, want a rollback in stage 1 with age 9 ms that is not a vote reply", got)
	}
}
