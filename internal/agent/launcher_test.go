package agent

import (
	"net"
	"testing"
	"time"

	"switchfork/internal/policy"
)

// A vote's answer that was written before the launcher sent the build back, and is read after that news, does not put it on trial again.
func TestVoteAnswerIsOlderThanTheNews(t *testing.T) {
	l := newStreamer(t, ":\n", time.Hour, func(string) string { return bulletin(42, 0, "testing", 0.1) })
	let := make(chan struct{})
	votes := newBox(t, func(c net.Conn, nth int) bool {
		<-let
		return answers(ok("<Response><groups><item><image>42</image><ring>0</ring><progress>testing</progress>"+
			"<ceiling>0.1</ceiling><lag_ms>10</lag_ms></item></groups></Response>"))(c, nth)
	})
	r := newRig(t, time.Second, "127.0.0.1:1", l.Addr())
	r.launcher.patient = patience
	go r.launcher.Serve(r.ctx)
	told := func() []policy.RolloutUpdate { return seen[policy.RolloutUpdate](r.script) }
	eventually(t, "the trial", func() bool { return len(told()) == 1 })
	go r.launcher.call(r.ctx, at(votes.Addr()), policy.Vote{Build: 42, Verdict: policy.Advance})
	eventually(t, "the vote", func() bool { return len(votes.Requests()) == 1 })
	l.Publish(bulletin(42, 0, "recalling", 0))
	eventually(t, "the news", func() bool { return len(told()) == 2 })
	close(let)
	eventually(t, "the answer", func() bool { return len(told()) == 3 })
	if s := told()[2]; !s.IsVoteReply || s.Outcome != policy.OK || s.Phase != policy.RollingBack || s.Cap != 0 {
		t.Errorf("told as %+v after %+v", s, told()[1])
	}
}
