package agent

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// An agent's account is one line in a while, and none while nothing was done.
func TestAccountIsBounded(t *testing.T) {
	var out bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
	defer slog.SetDefault(old)
	var a account
	now := time.Now()
	for range 1000 { // 20 s
		a.say(now)
		a.taken, now = a.taken+1, now.Add(20*time.Millisecond)
		a.dials.Add(2)
	}
	if got := strings.Count(out.String(), "msg=account"); got != 3 {
		t.Errorf("%d lines in 20 s", got)
	}
	if !strings.Contains(out.String(), " taken=250 ") || !strings.Contains(out.String(), " dials=500 ") {
		t.Errorf("counted as\n%s", out.String())
	}
	a.say(now.Add(accountEvery))
	out.Reset()
	for range 1000 {
		a.say(now)
		now = now.Add(20 * time.Millisecond)
	}
	if out.Len() > 0 {
		t.Errorf("idle, it says\n%s", out.String())
	}
}
