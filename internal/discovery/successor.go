package discovery

import (
	"context"

	"switchfork/internal/backoff"
	"switchfork/internal/ratelog"
)

// successorSpread bounds the random delay, in microseconds, before a watch is opened beside a silent one: all agents of a discovery that
// falls silent open theirs.
const successorSpread backoff.Micros = 500_000

// handleSilence opens a watch beside a current one that is silent, from the version in force. The silent one is still read: a discovery that
// is merely slow goes on with it. A successor that is silent, too, gives way to another one.
func (c *Client) handleSilence(ctx context.Context, from *watcher) {
	isLeaving := c.pending != nil // the address is being left: its watch is not opened again
	isInUse := from == c.current || from == c.successor
	if isLeaving || !isInUse {
		return
	}
	ratelog.Warn("silent watch", "endpoint list watch fell silent, opened another one beside it", "version", c.publisher.version)
	c.openSuccessor(ctx)
}

func (c *Client) openSuccessor(ctx context.Context) {
	if c.successor != nil {
		c.successor.cancel()
	}
	c.current.retire()
	c.successor = newWatcher(c.watching, c.address)
	c.successor.version = c.publisher.version
	c.successor.needsFullList = c.publisher.version == 0
	c.successor.startDelay = c.successor.backoff.Spread(successorSpread)
	c.successor.start(ctx)
}

// resolveSuccessor decides between the current watcher and its successor at the first line of either. A line of the successor proves its
// watch: it has been sent all changes after the version in force when it was opened, so that nothing of the silent one is needed any more.
// A line of the current one shows that it was slow and not broken, and that nothing was missed.
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

// dropSuccessor ends the successor, and has the current watcher open its watch again by itself.
func (c *Client) dropSuccessor() {
	if c.successor == nil {
		return
	}
	c.successor.cancel()
	c.successor = nil
	c.current.resume()
}

// handleWatcherEnd puts another watcher in the place of a current one that has ended while it was retired, unless the address is being left.
func (c *Client) handleWatcherEnd(ctx context.Context, from *watcher) {
	switch {
	case from != c.current || c.pending != nil:
	case c.successor != nil:
		c.promoteSuccessor()
	default: // it had a line once more, and ended before it was resumed
		c.openSuccessor(ctx)
		c.promoteSuccessor()
	}
}
