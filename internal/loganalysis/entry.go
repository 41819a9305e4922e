package loganalysis

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Messages of the agent's log that are counted.
const (
	messageActivity      = "activity"
	messageAttemptFailed = "attempt failed"
	messageVoteCast      = "vote cast"
	messageListReceived  = "endpoint list received"
	messageWatchEnded    = "endpoint list watch ended"
	messageFetchFailed   = "endpoint list fetch failed"
)

// Keys of log lines whose values are durations in milliseconds.
const (
	keyInterval = "interval_ms"
	keyElapsed  = "elapsed_ms"
)

// timePrefix starts the part of a line that log/slog wrote.
var timePrefix = []byte("time=")

// errNotLogLine is returned for a line that log/slog did not write.
var errNotLogLine = errors.New("reading a log line: time= is missing")

// entry is a line of an agent's log.
type entry struct {
	at     time.Time
	fields map[string]string
}

// parseEntry parses a line from time= on. Other text may precede it.
func parseEntry(line []byte) (entry, error) {
	start := bytes.Index(line, timePrefix)
	if start < 0 {
		return entry{}, errNotLogLine
	}
	fields := map[string]string{}
	decoder := logfmt.NewDecoder(bytes.NewReader(line[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
		if err := decoder.Err(); err != nil {
			return entry{}, fmt.Errorf("parsing a log line: %w", err)
		}
	}
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		return entry{}, fmt.Errorf("parsing a log line's time: %w", err)
	}
	return entry{at: at, fields: fields}, nil
}

func (e entry) message() string { return e.fields["msg"] }

// number returns the value of a key and reports whether it is a whole number. If not, the value is 0.
func (e entry) number(key string) (value int, isNumber bool) {
	value, err := strconv.Atoi(e.fields[key])
	if err != nil {
		return 0, false
	}
	return value, true
}
