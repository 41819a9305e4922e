// Package ratelog writes warnings to the process's log at a limited rate, so that bad input can't flood the log. It is safe for
// concurrent use.
//
// Each kind of warning has its own rate limit. The kind is not printed. Callers choose kinds so that no frequent warning suppresses
// a rare one.
package ratelog

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// minInterval is the shortest time between two warnings of one kind.
	minInterval = time.Second
	// maxKinds is the largest number of kinds that a logger records, which bounds its memory. If maxKinds kinds are recorded, the
	// logger forgets all of them before it writes the next warning.
	maxKinds = 256
)

// Logger writes at most one warning of each kind per minInterval.
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

// isDue reports whether a warning of the given kind may be written now. If so, it records the warning as written.
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
