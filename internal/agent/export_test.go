package agent

import "switchfork/internal/policy"

// ReaderGrace is how long readers get after a stall.
const ReaderGrace = readerGrace

// Handle hands an event to the policy, as the loop's goroutine does.
func (l *Loop) Handle(event policy.Event) { l.handle(event) }

// EndpointRecords is the number of records that are kept of endpoints. The loop has to be idle.
func (l *Loop) EndpointRecords() int { return len(l.endpoints.byID) + len(l.endpoints.order) }
