package loganalysis

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// writeLog returns a log as an agent writes it, with a line every half second.
func writeLog(t *testing.T, lines ...func(*slog.Logger)) string {
	t.Helper()
	var out bytes.Buffer
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	log := slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			at = at.Add(500 * time.Millisecond)
			a.Value = slog.TimeValue(at)
		}
		return a
	}}))
	for _, logEntry := range lines {
		logEntry(log)
	}
	return out.String()
}

func logVote(log *slog.Logger) {
	log.Info("vote cast", "build", 7, "stage", 1, "verdict", "approve", "result", "not run", "elapsed_ms", 120)
}

func logActivity(log *slog.Logger) {
	log.Info("activity", "interval_ms", 5001, "arrived", 40, "succeeded", 30, "rejected", 9, "attempts", 44, "retries", 5, "list_calls", 2)
}

func TestReportAddsUpAgents(t *testing.T) {
	one := writeLog(t, logActivity, logVote, logVote, func(l *slog.Logger) {
		l.Warn("attempt failed", "endpoint", "box 1", "result", "timed out", "health_check", false, "elapsed_ms", 380)
	}, func(l *slog.Logger) { l.Info("endpoint list received", "version", 4, "full", false, "entries", 3) })
	two := writeLog(t, logActivity, logVote, func(l *slog.Logger) { l.Warn("endpoint list watch ended", "err", "status 503") })
	report := NewReport(5 * time.Second)
	for name, log := range map[string]string{"a": "0.013 " + strings.ReplaceAll(one, "\n", "\n0.020 "), "b": two + "no log line\ntime=never msg=\"vote cast\"\n"} {
		if err := report.Read(name, strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	if peak, over := report.PeakVoteRate(2); peak != 2 || over != 0 || report.SecondsWithVotes() != 2 {
		t.Errorf("got %d votes in the busiest second, %d of %d seconds over two votes, want 2 votes, 0 of 2 seconds", peak, over, report.SecondsWithVotes())
	}
	if _, over := report.PeakVoteRate(1); over != 1 {
		t.Errorf("got %d seconds over one vote, want 1", over)
	}
	var out bytes.Buffer
	if err := report.Print(&out, 1); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"2 agents", "\n0\t80\t60\t18\t0\t0\t88\t10\t0\t0\t4\t0\t0\t1\t1\ttimed out 1\n",
		"build 7 stage 1 approve: not run\t3\n", "box 1\ttimed out 1\n",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in the report:\n%s", want, out.String())
		}
	}
	if report.MalformedLines != 3 { // the last two lines of log b, and the prefix after the last line of log a
		t.Errorf("got %d malformed lines, want 3", report.MalformedLines)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("time=2026-01-02T03:04:05Z msg=activity arrived=1\n"))
	f.Add([]byte("time=2026-01-02T03:04:05Z msg=\"vote cast\" elapsed_ms=\n\x00=time="))
	f.Fuzz(func(t *testing.T, raw []byte) {
		report := NewReport(0)
		_ = report.Read("x", bytes.NewReader(raw)) // errors are expected, panics are not
		if err := report.Print(&bytes.Buffer{}, 100); err != nil {
			t.Fatal(err)
		}
	})
}
