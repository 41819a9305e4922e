package loganalysis

import (
	"errors"
	"testing"
	"time"
)

func TestParseEntry(t *testing.T) {
	logged, err := parseEntry([]byte(`0.013 time=2026-01-02T03:04:05.5Z level=INFO msg="vote cast" elapsed_ms=120 build=x`))
	if err != nil || logged.message() != messageVoteCast || !logged.at.Equal(time.Date(2026, 1, 2, 3, 4, 5, 5e8, time.UTC)) {
		t.Errorf("got %+v, error %v, want the vote at 03:04:05.5", logged, err)
	}
	if elapsed, isNumber := logged.number(keyElapsed); elapsed != 120 || !isNumber {
		t.Errorf("elapsed_ms: got %d, %t, want 120, true", elapsed, isNumber)
	}
	for _, key := range []string{"build", "stage"} {
		if value, isNumber := logged.number(key); value != 0 || isNumber {
			t.Errorf("%s: got the number %d, want none", key, value)
		}
	}
	if _, err := parseEntry([]byte("level=INFO msg=activity")); !errors.Is(err, errNotLogLine) {
		t.Errorf("a line without a time: got error %v, want errNotLogLine", err)
	}
	if _, err := parseEntry([]byte("time=never msg=activity")); err == nil || errors.Is(err, errNotLogLine) {
		t.Errorf("a line with an invalid time: got error %v, want one from parsing the time", err)
	}
}
