package fakes

import (
	"bytes"
	"sync"
)

// Log takes what a process writes, and may be read meanwhile. Its buffer is not embedded: that one's ReadFrom would go past the lock.
type Log struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *Log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(b)
}

func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}
