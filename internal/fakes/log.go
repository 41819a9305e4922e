package fakes

import (
	"bytes"
	"sync"
)

// Log collects the output of a process and may be read concurrently. It does not embed its buffer, because the buffer's ReadFrom
// method would not take the lock.
type Log struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(b)
}

// String returns the output so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}
