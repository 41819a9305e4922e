package faulttest

import (
	"fmt"
	"slices"
	"sync"

	"switchfork/internal/faulttest/netfault"
)

// Sources of events other than servers and agents.
const (
	sourceDeployment = "deployment"
	sourceScenario   = "scenario"
	sourceClient     = "client"
)

// event is an entry of the timeline.
type event struct {
	at     netfault.Micros
	source string
	text   string
}

// eventLog collects what the deployment did. It may be used from several goroutines.
type eventLog struct {
	now netfault.Clock

	mu     sync.Mutex
	events []event
}

func (l *eventLog) record(source, format string, args ...any) {
	entry := event{l.now(), source, fmt.Sprintf(format, args...)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, entry)
}

func (l *eventLog) snapshot() []event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.events)
}
