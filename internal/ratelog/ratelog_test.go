package ratelog

import (
	"fmt"
	"testing"
	"time"
)

// A warning of each kind is due once per interval, whichever other kinds were logged.
func TestEachKindHasItsOwnRate(t *testing.T) {
	logger := &Logger{loggedAt: map[string]time.Time{}}
	if !logger.isDue("a") || !logger.isDue("b") {
		t.Error("the first warning of a kind is not due")
	}
	if logger.isDue("a") {
		t.Error("a second warning of a kind is due at once")
	}
	logger.loggedAt["a"] = time.Now().Add(-minInterval)
	if !logger.isDue("a") {
		t.Error("a warning is not due after the interval")
	}
}

// The number of recorded kinds is bounded, however many kinds callers use.
func TestKindsAreBounded(t *testing.T) {
	logger := &Logger{loggedAt: map[string]time.Time{}}
	for i := range 3 * maxKinds {
		if !logger.isDue(fmt.Sprint("kind ", i)) {
			t.Fatalf("the first warning of kind %d is not due", i)
		}
		if n := len(logger.loggedAt); n > maxKinds {
			t.Fatalf("got %d recorded kinds, want %d at most", n, maxKinds)
		}
	}
}
