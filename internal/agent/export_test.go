package agent

import "switchfork/internal/policy"

// ReaderGrace is how long readers get after a stall.
const ReaderGrace = readerGrace

// Handle hands an event to the router, as the loop's goroutine does.
func (c *Loop) Handle(event policy.Event) { c.handle(event) }

// Endpoints is the number of records that are kept of endpoints. The loop must be at rest.
func (c *Loop) Endpoints() int { return len(c.endpoints) + len(c.endpointOrder) }
