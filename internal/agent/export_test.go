package agent

import "switchfork/internal/policy"

// ReaderGrace is the shortest time for which the loop waits for readers after a stall.
const ReaderGrace = readerGrace

// Handle hands an event to the policy, as the loop's goroutine does.
func (l *Loop) Handle(event policy.Event) { l.handle(event) }

// EndpointRecords returns the number of records of endpoints in the registry. It must be called while the loop is idle.
func (l *Loop) EndpointRecords() int { return len(l.endpoints.byID) + len(l.endpoints.order) }
