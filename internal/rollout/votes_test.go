package rollout

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
	"switchfork/internal/streamclient"
)

// voteReply returns the controller's reply to an accepted vote.
func voteReply(stage, ceiling, lagMillis string) string {
	return "<Response><groups><item><image>42</image><ring>" + stage + "</ring><progress>testing</progress>" +
		"<ceiling>" + ceiling + "</ceiling><lag_ms>" + lagMillis + "</lag_ms></item></groups></Response>"
}

// A vote reply that the controller wrote before it rolled the build back may be read after the update about the rollback. The build must not
// be evaluated again.
func TestVoteReplyOlderThanUpdate(t *testing.T) {
	stream := agenttest.NewStreamServer(t, ":\n", time.Hour, func(string) string { return fakes.RolloutEvent(42, 0, "testing", 0.1) })
	release := make(chan struct{})
	votes := agenttest.NewScriptedServer(t, func(c net.Conn, nth int) bool {
		<-release
		return fakes.Respond(fakes.OKResponse(voteReply("0", "0.1", "10")))(c, nth)
	})
	r := newRig(t, stream.Addr())
	r.client.voteTimeout = agenttest.WaitTimeout
	go r.client.Serve(r.Context())
	r.awaitUpdates(t, "the canary stage", 1)
	go r.client.castVote(r.Context(), apiURL(votes.Addr()), policy.Vote{Build: 42, Verdict: policy.Advance})
	agenttest.Eventually(t, "the vote", func() bool { return len(votes.Requests()) == 1 })
	stream.Publish(fakes.RolloutEvent(42, 0, "recalling", 0))
	r.awaitUpdates(t, "the rollback", 2)
	close(release)
	r.awaitUpdates(t, "the reply", 3)
	if got := r.updates()[2]; !got.IsVoteReply || got.Outcome != policy.OK || got.Phase != policy.RollingBack || got.Cap != 0 {
		t.Errorf("got update %+v after %+v, want a vote reply that keeps the rollback and its cap of 0", got, r.updates()[1])
	}
}

// Each reply to a vote has the outcome that the protocol defines for it. For each vote, exactly one update is published, at the latest when
// the vote timeout expires.
func TestVoteReplies(t *testing.T) {
	for _, c := range []struct {
		reply string
		want  policy.Outcome
	}{
		{"200|" + voteReply("1", "0.28", "310"), policy.OK},
		{"200|no news", policy.TimedOut},
		{"400|<Error><Code>Throttling</Code></Error>", policy.Rejected},
		{"400|<Error><Code>ConditionFailed</Code></Error>", policy.NotAttempted},
		{"400|<?xml version=\"1.0\"?>\n<Response><Error><Code>Throttling</Code></Error></Response>", policy.Rejected},
		{"400|<Response><Error><Code>ConditionFailed</Code></Error></Response>", policy.NotAttempted},
		{"400|<Error><Code>ValidationError</Code></Error>", policy.ServerError},
		{"500|<Error><Code>InternalFailure</Code></Error>", policy.ServerError},
		{"418|", policy.TimedOut},
	} {
		server := agenttest.NewStreamServer(t, ":\n", time.Hour, func(string) string { return c.reply })
		r := newRig(t, server.Addr())
		r.client.castVote(r.Context(), r.client.apiURL, policy.Vote{Build: 42, Stage: 1, Verdict: policy.Advance})
		r.awaitUpdates(t, "the reply", 1)
		got := r.updates()[0]
		if got.Outcome != c.want || !got.IsVoteReply || got.Build != 42 || got.Stage != 1 {
			t.Errorf("%s: got update %+v, want a vote reply for build 42 and stage 1 with the listed outcome", c.reply, got)
		}
		if c.want == policy.OK && (got.Cap != 0.28 || got.Age != 310000) {
			t.Errorf("%s: got update %+v, want cap 0.28 and age 310 ms", c.reply, got)
		}
		if server.CallsContaining("POST /api/ Action=RecordOpinion&image=42&ring=1&opinion=approve") != 1 {
			t.Errorf("got calls %q, want one that approves build 42 in stage 1", server.Calls())
		}
	}
}

// If the controller does not reply to a vote, an update with the vote's outcome is published nevertheless.
func TestVoteWithoutReply(t *testing.T) {
	silent, closed := agenttest.NewScriptedServer(t, fakes.NeverRespond), agenttest.Listen(t)
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	for address, want := range map[string]policy.Outcome{silent.Addr(): policy.TimedOut, closed.Addr().String(): policy.ConnectFailed} {
		r := newRig(t, address)
		r.client.castVote(r.Context(), r.client.apiURL, policy.Vote{})
		r.awaitUpdates(t, "the outcome", 1)
		if got := r.updates()[0]; got.Outcome != want {
			t.Errorf("got update %+v, want outcome %d", got, want)
		}
	}
}

// When a vote is given up, its connection is reset, so that the operating system does not keep sending the vote. This applies to timed
// votes as well.
func TestAbandonedVoteIsReset(t *testing.T) {
	ended := make(chan error, 8)
	listener := agenttest.Listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { ended <- readToEnd(conn) }()
		}
	}()
	const dialTimeout = time.Second
	for name, client := range map[string]*http.Client{
		"vote": streamclient.NewHTTPClient(dialTimeout, nil), "timed vote": newTimedHTTPClient(dialTimeout),
	} {
		ctx, cancel := context.WithTimeout(withWriteDeadline(t.Context(), time.Now().Add(agenttest.WaitTimeout)), 200*time.Millisecond)
		url := apiURL(listener.Addr().String())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("image=1"))
		if err != nil {
			t.Fatal(err)
		}
		if response, err := client.Do(request); err == nil {
			t.Errorf("%s: got status %s, want no response", name, response.Status)
			_ = response.Body.Close() // the test has already failed
		}
		cancel()
		if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: connection ended with %v, want a reset", name, err)
		}
	}
}

// readToEnd reads from a connection until it ends and returns the error.
func readToEnd(conn net.Conn) error {
	_, err := io.Copy(io.Discard, conn)
	return err
}
