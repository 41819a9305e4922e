// Package ratelog writes warnings to the process's log at a bounded rate, so that bad input can't flood it. It may be used by any
// goroutine.
//
// Warnings of one kind share their rate. A kind is never printed; callers choose it so that no frequent warning hides a rare one.
package ratelog

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// minInterval is the shortest time between two warnings of one kind.
	minInterval = time.Second
	// maxKinds bounds the memory of a logger: with more kinds than that, all are forgotten and start anew.
	maxKinds = 256
)

// Logger lets one warning of each kind through in an interval.
type Logger struct {
	mu       sync.Mutex
	loggedAt map[string]time.Time // by kind
}

var standard = &Logger{loggedAt: map[string]time.Time{}}

// Warn writes a warning to the process's log, at most once a second for each kind.
func Warn(kind, message string, args ...any) { standard.Warn(kind, message, args...) }

// Warn writes a warning, at most once a second for each kind.
func (l *Logger) Warn(kind, message string, args ...any) {
	if l.isDue(kind) {
		slog.Warn(message, args...)
	}
}

// isDue tells whether a warning of a kind may be written now, and counts it as written.
func (l *Logger) isDue(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.loggedAt[kind]) < minInterval {
		return false
	}
	if len(l.loggedAt) >= maxKinds {
		clear(l.loggedAt)
	}
	l.loggedAt[kind] = now
	return true
}
