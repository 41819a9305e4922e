package discovery

import (
	"context"

	"switchfork/internal/protocol"
)

// Move makes the client use another address of discovery. The watch at the old address stays open until the list of the new address has been
// published, so that no change is missed during the move. If the old watch ends before that, it is not opened again.
//
// The first list from the new address may be older than the published list. If that list lacks a drain that the old address has reported,
// publishing it would revoke the drain. The list is therefore held back until changes on the new watch have brought it to the published
// version. If the version numbers of the two addresses are unrelated, that may never happen. So the list is also published at the first
// heartbeat of the new watch, which shows that the new address has nothing newer and arrives within one heartbeat interval.
func (c *Client) Move(address string) { c.mailbox.Put(addressChanged{address}) }

// openPending starts a watcher at another address, in place of an earlier pending watcher. The current watch stays open but is not opened
// again when it ends.
func (c *Client) openPending(ctx context.Context, address string) {
	c.dropSuccessor()
	c.current.retire()
	if c.pending != nil {
		c.pending.cancel()
	}
	c.address = address
	c.pending = newWatcher(c.watcherConfig, address)
	c.pendingList = protocol.List{}
	c.pending.needsFullList = true
	c.pending.start(ctx)
}

// promotePending makes the pending watcher the current one and publishes the list that it has received.
func (c *Client) promotePending() {
	c.current.cancel()
	c.current, c.pending = c.pending, nil
	c.publisher.publish(c.pendingList)
	c.pendingList = protocol.List{}
}
