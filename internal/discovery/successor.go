package discovery

import (
	"context"

	"switchfork/internal/backoff"
	"switchfork/internal/ratelog"
)

// maxSuccessorDelay is the maximum random delay, in microseconds, before a successor opens its watch. If discovery stops sending, all agents
// open a second watch. The delay spreads these calls.
const maxSuccessorDelay backoff.Micros = 500_000

// handleSilence starts a successor if the current watcher is silent. The silent watch is still read, because a discovery server that is merely
// slow resumes sending on it. If the successor is silent as well, another successor replaces it.
func (c *Client) handleSilence(ctx context.Context, from *watcher) {
	isMoving := c.pending != nil // the client moves to another address, so no watch is opened at the old one
	isInUse := from == c.current || from == c.successor
	if isMoving || !isInUse {
		return
	}
	ratelog.Warn("silent watch", "no line on endpoint list watch within its silence timeout, opened a second watch", "version", c.publisher.version)
	c.openSuccessor(ctx)
}

// openSuccessor starts a second watcher, which watches from the published version, and retires the current one. An earlier successor is ended.
func (c *Client) openSuccessor(ctx context.Context) {
	if c.successor != nil {
		c.successor.cancel()
	}
	c.current.retire()
	c.successor = newWatcher(c.watcherConfig, c.address)
	c.successor.version = c.publisher.version
	c.successor.needsFullList = c.publisher.version == 0
	c.successor.startDelay = c.successor.backoff.Spread(maxSuccessorDelay)
	c.successor.start(ctx)
}

// resolveSuccessor chooses between the current watcher and its successor at the first line that either receives. A line from the successor
// shows that the second watch works. Discovery sends on the second watch all changes after the version that was published when this watch
// was opened, so the silent watch is no longer needed. A line from the current watcher shows that the silent watch was slow but not broken,
// and that no change was missed.
func (c *Client) resolveSuccessor(from *watcher) {
	switch {
	case c.successor == nil:
	case from == c.successor:
		c.promoteSuccessor()
	case from == c.current:
		c.dropSuccessor()
	}
}

func (c *Client) promoteSuccessor() {
	c.current.cancel()
	c.current, c.successor = c.successor, nil
}

// dropSuccessor ends the successor and resumes the current watcher.
func (c *Client) dropSuccessor() {
	if c.successor == nil {
		return
	}
	c.successor.cancel()
	c.successor = nil
	c.current.resume()
}

// handleWatcherEnd replaces a current watcher that has ended while it was retired, unless the client is moving to another address.
func (c *Client) handleWatcherEnd(ctx context.Context, from *watcher) {
	switch {
	case from != c.current || c.pending != nil:
	case c.successor != nil:
		c.promoteSuccessor()
	default: // a line of the current watcher ended the successor, but the current watcher ended before it was resumed
		c.openSuccessor(ctx)
		c.promoteSuccessor()
	}
}
