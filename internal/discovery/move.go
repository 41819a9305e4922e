package discovery

import (
	"context"

	"switchfork/internal/protocol"
)

// Move goes to another address. The watch at the old one goes on until the new one has received the full list, so that no change is
// lost between the two; once it ends it is not opened again.
//
// The new discovery may be behind: a full list that is a moment old may lack a drain that the old discovery has reported, and publishing
// it would revoke the drain. The list is therefore held back until the new watch has brought it to the version in force, or until a
// heartbeat shows that there is nothing newer, as at a discovery with version numbers of its own. That takes one heartbeat interval at
// most.
func (c *Client) Move(address string) { c.mailbox.Put(addressChanged{address}) }

// openPending starts a watcher at another address. The current watch is left to end by itself.
func (c *Client) openPending(ctx context.Context, address string) {
	c.dropSuccessor()
	c.current.retire()
	if c.pending != nil {
		c.pending.cancel()
	}
	c.address = address
	c.pending = newWatcher(c.watching, address)
	c.pendingList = protocol.List{}
	c.pending.needsFullList = true
	c.pending.start(ctx)
}

// promotePending puts the pending watcher in the current one's place and publishes what it has received.
func (c *Client) promotePending() {
	c.current.cancel()
	c.current, c.pending = c.pending, nil
	c.publisher.publish(c.pendingList)
	c.pendingList = protocol.List{}
}
