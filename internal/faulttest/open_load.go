package faulttest

import (
	"context"
	"math/rand"
	"time"
)

// maxAttempts is the largest number of attempts that a client makes at a request, the first included. The clients that users run make as
// many.
const maxAttempts = 3

// Bounds for the random time after which a client disconnects early, and for random short timeouts.
const (
	maxDisconnectAfter = 100 * time.Millisecond
	minShortTimeout    = 20 * time.Millisecond
	maxShortTimeout    = 300 * time.Millisecond
)

// openLoad sends requests to one agent at random times. New requests do not wait for answers to earlier ones.
type openLoad struct {
	openLoadStep
	clients *clients
	agent   int
	random  *rand.Rand
}

// generate starts requests at exponentially distributed intervals until the context ends.
func (l *openLoad) generate(ctx context.Context) {
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for {
		next = next.Add(time.Duration(l.random.ExpFloat64() / l.rate * float64(time.Second)))
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		class, style := l.drawClass(l.random.Float64()), l.drawStyle(l.random)
		request := l.clients.records.newRequest(l.agent)
		l.clients.running.Go(func() { l.clients.runRequest(context.WithoutCancel(ctx), request, class, style) })
	}
}

// drawStyle draws how a request is sent. The arrival times come from the same random source. No number is drawn for a share that
// is 0, so a load of only plain requests has the same arrivals as it would have without this draw.
func (a openLoadStep) drawStyle(random *rand.Rand) (style requestStyle) {
	if a.splitShare > 0 {
		style.isSplit = random.Float64() < a.splitShare
	}
	if a.disconnectShare > 0 && random.Float64() < a.disconnectShare {
		style.disconnectAfter = 1 + time.Duration(random.Int63n(int64(maxDisconnectAfter)))
	}
	if a.shortTimeoutShare > 0 && random.Float64() < a.shortTimeoutShare {
		style.timeout = minShortTimeout + time.Duration(random.Int63n(int64(maxShortTimeout-minShortTimeout)))
	}
	return style
}

// drawClass returns the class of a request for a random number from 0 to 1.
func (a openLoadStep) drawClass(draw float64) string {
	switch {
	case draw < a.keyedShare:
		return classKeyed
	case draw < a.keyedShare+a.nonIdempotentShare:
		return classNonIdempotent
	default:
		return classIdempotent
	}
}

// runRequest makes attempts at a request until one succeeds or no further attempt is allowed. A rejected attempt is retried after the time
// that the agent names. An attempt without an answer is retried if it did not reach its agent, or if its request may run twice. It is retried
// at any running agent, as a simple load balancer in front of the agents would do.
func (c *clients) runRequest(ctx context.Context, request *Request, class string, style requestStyle) {
	began := c.now()
	spec := attemptSpec{agent: request.Agent, class: class, serial: c.lastSerial.Add(1), style: style}
	outcome := outcomeFailed
	for spec.number = range maxAttempts {
		attempt := c.sendPooled(ctx, spec)
		c.records.addAttempt(request, attempt)
		outcome = attempt.outcome()
		if attempt.HasDisconnected || attempt.Timeout > 0 {
			break // such a client does not retry
		}
		if outcome == outcomeRejected {
			time.Sleep(attempt.retryAfter())
			continue
		}
		if !attempt.mayRunElsewhere() {
			break
		}
		if running := c.processes.running(); len(running) > 0 {
			spec.agent = running[int(spec.serial)%len(running)]
		}
	}
	c.records.finish(request, outcome, began)
}

// sendPooled makes an attempt on a connection of the pool. If the agent has no free connection slot, the attempt is not sent and counts as
// unreachable.
func (c *clients) sendPooled(ctx context.Context, spec attemptSpec) Attempt {
	if !c.pool.acquireSlot(spec.agent) {
		c.records.droppedRequests.Add(1)
		a := spec.newAttempt()
		a.EndedAt, a.Err, a.WasUnreachable = c.now(), "no free connection slot", true
		return a
	}
	defer c.pool.releaseSlot(spec.agent)
	return c.sender.send(ctx, c.pool, spec)
}
