package proxy

import (
	"context"
	"time"
)

const (
	// lateArrivalWindow is how long new connections and requests may still arrive after SIGTERM. The protocol sets it.
	lateArrivalWindow = 700 * time.Millisecond
	// finalReplyWindow is the time between answering the requests that are still open and the end of a drain. It is long enough to write
	// the responses.
	finalReplyWindow = 100 * time.Millisecond
	// refusalWindow is the time between refusing new connections and the end of a drain. Even on a busy machine, it is long enough to read
	// and answer the requests of connections that wait in the accept queue.
	refusalWindow = 400 * time.Millisecond
	// unboundedDrain is the time limit of a drain whose context has no deadline.
	unboundedDrain = time.Hour
)

// Drain serves requests that still arrive, closes each connection with its next response, and returns once all clients have disconnected. A
// connection that carries no request stays open for the client's next request, as clients use their connections until these are closed. A
// connection that stays silent is closed by its idle timeout, or when the drain's time has nearly run out.
//
// Shortly before the end of the drain, requests that are still open are answered, as the process can't answer them later. New connections
// are refused: clients that keep connecting would otherwise have requests in transit when the process exits, and the exit resets their
// connections.
//
// http.Server.Shutdown is not used: it closes connections on which part of a request head has been read, and drops a request without an
// answer if the request was read completely after Shutdown began.
func (p *Proxy) Drain(ctx context.Context) error {
	p.startDrain(ctx)
	deadlineTimer := time.NewTimer(time.Until(p.drainDeadline))
	defer deadlineTimer.Stop()
	lateArrivals := time.NewTimer(lateArrivalWindow)
	defer lateArrivals.Stop()
	refusal := time.NewTimer(max(lateArrivalWindow, time.Until(p.drainDeadline)+finalReplyWindow-refusalWindow))
	defer refusal.Stop()
	listenerClosed := p.listener.closed
	var empty <-chan struct{} // closed when the listener is closed and no client is connected
	for {
		select {
		case <-lateArrivals.C:
			p.listener.closeWhenEmpty()
		case <-refusal.C:
			p.listener.closeAfterBacklog()
		case <-deadlineTimer.C:
			close(p.drainExpired)
			p.listener.retireIdle(drainMinIdleTime)
			p.listener.closeAfterBacklog()
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

// startDrain sets the time at which open requests are answered, and announces the drain to the HTTP handlers and to the admission loop.
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
