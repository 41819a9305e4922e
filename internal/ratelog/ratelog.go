package ratelog

import (
	"log/slog"
	"sync"
	"time"
)

// Logger lets one line a second through for each thing that is wrong, so that bad input can't flood the log.
type Logger struct {
	mu   sync.Mutex
	last map[string]time.Time
}

var standard = &Logger{last: map[string]time.Time{}}

// Warn writes a warning to the process's log, at most once a second for each kind.
func Warn(kind, text string, args ...any) { standard.Warn(kind, text, args...) }

const (
	interval = time.Second
	maxKinds = 256 // kinds of complaint kept apart; beyond that they are forgotten and start anew
)

func (s *Logger) Warn(kind, text string, args ...any) {
	s.mu.Lock()
	now := time.Now()
	fresh := now.Sub(s.last[kind]) >= interval
	if fresh {
		if len(s.last) >= maxKinds {
			clear(s.last)
		}
		s.last[kind] = now
	}
	s.mu.Unlock()
	if fresh {
		slog.Warn(text, args...)
	}
}
