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
func TestDrainEndsBeforeSIGKILL(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	a := startAgent(t, func(conf string) string {
		return strings.ReplaceAll(conf, `"HardLimitMs":2000.0`, `"HardLimitMs":30000.0`)
	}, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	a.waitHealthy(t)
	open := make(chan clientResponse, 1)
	go func() {
		got, _ := a.tryRequest(context.Background(), "POST", "/posting", "")
		open <- got
	}()
	agenttest.Eventually(t, "the copy", func() bool { return len(endpoint.Requests()) == 1 })
	start := time.Now()
	if err := a.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got := <-open; got.status != 504 {
		t.Errorf("the open one got %+v", got)
	}
	select {
	case err := <-a.exited:
		if took := time.Since(start); err != nil || took > 10*time.Second {
			t.Errorf("ended after %v with %v", took, err)
		}
	case <-time.After(agenttest.Patience):
		t.Error("did not end")
	}
}
