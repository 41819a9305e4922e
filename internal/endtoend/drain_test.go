package endtoend

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
)

// However long the deadlines are, a drain ends before SIGKILL comes, with an answer to what is open: that is owed 3.7 s after SIGTERM.
// The bound leaves a busy machine time and is far below the deadline.
func TestDrainEndsBeforeTheKill(t *testing.T) {
	b := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	a := launch(t, func(conf string) string {
		return strings.ReplaceAll(conf, `"HardLimitMs":2000.0`, `"HardLimitMs":30000.0`)
	}, fakes.ListEntry("s-1", b.Addr(), "active", 41))
	a.healthy(t)
	open := make(chan answered, 1)
	go func() {
		got, _ := a.try(context.Background(), "POST", "/posting", "")
		open <- got
	}()
	agenttest.Eventually(t, "the copy", func() bool { return len(b.Requests()) == 1 })
	start := time.Now()
	if err := a.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got := <-open; got.status != 504 {
		t.Errorf("the open one got %+v", got)
	}
	select {
	case err := <-a.exit:
		if took := time.Since(start); err != nil || took > 10*time.Second {
			t.Errorf("ended after %v with %v", took, err)
		}
	case <-time.After(agenttest.Patience):
		t.Error("did not end")
	}
}
