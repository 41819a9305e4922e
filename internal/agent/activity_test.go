package agent

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// The activity log has at most one line for each interval, and none for intervals in which nothing was done.
func TestActivityLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
	defer slog.SetDefault(old)
	var a activity
	now := time.Now()
	for range 1000 { // 20 s
		a.log(now)
		a.arrived, now = a.arrived+1, now.Add(20*time.Millisecond)
		a.dials.Add(2)
	}
	if got := strings.Count(out.String(), "msg=activity"); got != 3 {
		t.Errorf("got %d lines in 20 s, want 3", got)
	}
	if !strings.Contains(out.String(), " arrived=250 ") || !strings.Contains(out.String(), " dials=500 ") {
		t.Errorf("got log\n%s\nwant arrived=250 and dials=500", out.String())
	}
	a.log(now.Add(activityInterval))
	out.Reset()
	for range 1000 {
		a.log(now)
		now = now.Add(20 * time.Millisecond)
	}
	if out.Len() > 0 {
		t.Errorf("without activity: got log\n%s\nwant none", out.String())
	}
}
