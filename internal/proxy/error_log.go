package proxy

import (
	"log"
	"strings"

	"switchfork/internal/ratelog"
)

// errorLogWriter logs the errors that net/http reports, at most one a second, since clients can cause any number of them.
type errorLogWriter struct{}

func newErrorLog() *log.Logger { return log.New(errorLogWriter{}, "", 0) }

// Write logs one line.
func (errorLogWriter) Write(text []byte) (int, error) {
	ratelog.Warn("http server", "http server error", "text", strings.TrimSpace(string(text)))
	return len(text), nil
}
