package rollout

import (
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
)

// A probe reports an answer of the rollout controller, and nothing if the controller does not answer or answers with an error. It changes
// nothing: it opens a stream of its own and casts no vote.
func TestProbeReportsAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		reply string
		want  bool
	}{
		"stream":     {":\n", true},
		"error":      {"500|<Error><Code>InternalFailure</Code></Error>", false},
		"overloaded": {"503|", false},
	} {
		server := agenttest.NewStreamServer(t, ":\n", time.Hour, func(string) string { return test.reply })
		r := newRig(t, server.Addr())
		isAnswered := false
		r.client.probe(r.Context(), r.client.apiURL, func() { isAnswered = true })
		if isAnswered != test.want || server.CallsContaining("GET /api/bulletin") != 1 || server.CallsContaining("POST") != 0 {
			t.Errorf("%s: got answered %t after the calls %q, want %t after one call for the stream", name, isAnswered, server.Calls(), test.want)
		}
	}
	silent := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	r := newRig(t, silent.Addr())
	r.client.voteTimeout = 100 * time.Millisecond
	r.client.probe(r.Context(), r.client.apiURL, func() { t.Error("a silent rollout controller counts as one that answers") })
	if len(silent.Requests()) != 1 {
		t.Errorf("got the requests %+v, want one", silent.Requests())
	}
}
