package proxy

import (
	"context"
	"time"
)

const (
	// lateArrivalWindow is set by the protocol: new connections and requests on their way still arrive for so long after SIGTERM.
	lateArrivalWindow = 700 * time.Millisecond
	// finalReplyWindow is how long before the end of a drain open requests are answered: time enough to write the responses.
	finalReplyWindow = 100 * time.Millisecond
	// refusalWindow is how long before the end of a drain new connections are refused, so that the requests of those that waited can be read
	// and answered on a busy machine too.
	refusalWindow = 400 * time.Millisecond
	// unboundedDrain stands in for the deadline of a drain whose context has none.
	unboundedDrain = time.Hour
)

// Drain serves what still arrives, closes each connection with its next response, and returns when no client is connected any more. A
// connection that carries no request stays open for its next one: clients use the connections that they have until these end. One that
// stays silent ends with its idle timeout, or when the drain's time has nearly run out.
//
// Requests that are open then are answered, as nobody will be there to answer them later, and new connections are refused: clients that go
// on connecting would otherwise have requests on their way when the process ends, which resets them.
//
// http.Server.Shutdown is not used: it closes connections of which half a head has been read, and drops without an answer a request that
// was read completely after it began.
func (p *Proxy) Drain(ctx context.Context) error {
	p.startDrain(ctx)
	deadlineTimer := time.NewTimer(time.Until(p.drainDeadline))
	defer deadlineTimer.Stop()
	lateArrivals := time.NewTimer(lateArrivalWindow)
	defer lateArrivals.Stop()
	refusal := time.NewTimer(max(lateArrivalWindow, time.Until(p.drainDeadline)+finalReplyWindow-refusalWindow))
	defer refusal.Stop()
	listenerClosed := p.listener.closed
	var empty <-chan struct{} // closed when the closed listener has no connection left
	for {
		select {
		case <-lateArrivals.C:
			p.listener.closeWhenEmpty()
		case <-refusal.C:
			p.listener.closeSoon()
		case <-deadlineTimer.C:
			close(p.drainExpired)
			p.listener.endIdle(drainIdleTime)
			p.listener.closeSoon()
		case <-listenerClosed:
			listenerClosed = nil
			empty = p.listener.whenEmpty(ctx)
		case <-empty:
			return nil
		case <-ctx.Done():
			p.listener.shutdown()
			return ctx.Err()
		}
	}
}

// startDrain sets the time at which open requests are answered, and has the proxy and the admission loop go by it.
func (p *Proxy) startDrain(ctx context.Context) {
	p.drainDeadline = time.Now().Add(unboundedDrain)
	if deadline, ok := ctx.Deadline(); ok {
		p.drainDeadline = deadline.Add(-finalReplyWindow)
	}
	p.isDraining.Store(true)
	if p.admission != nil {
		p.admission.mailbox.Put(drainStarted{p.drainDeadline})
	}
}
