package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/mailbox"
	"switchfork/internal/protocol"
	"switchfork/internal/streamclient"
)

// Client keeps the event loop's endpoint list in step with discovery's.
type Client struct {
	loop      *agent.Loop
	mailbox   *mailbox.Mailbox[message]
	watching  watchConfig
	publisher *listPublisher
	address   string   // of the current watcher
	current   *watcher // whose lists are published
	// successor is a watcher beside a current one that is silent; nil where there is none. See successor.go.
	successor *watcher
	// pending watches the address that is to take the current one's place; nil while there is no move.
	pending *watcher
	// pendingList is what the pending watcher has received. It is published when that watcher becomes the current one.
	pendingList protocol.List
}

// NewClient returns a client of the discovery at an address. A connection has to come up within dialTimeout. pollWithin is the configured
// time in which an agent without a watch should ask, 0 where none is configured; agentCount is the number of agents that do so.
func NewClient(
	loop *agent.Loop, address string, zones []string, dialTimeout, pollWithin time.Duration, agentCount int, seed int64,
) *Client {
	c := &Client{
		loop:      loop,
		mailbox:   mailbox.New[message](),
		publisher: newListPublisher(loop, zones),
		address:   address,
	}
	c.watching = watchConfig{
		httpClient: streamclient.NewHTTPClient(dialTimeout, loop.UnreadInput()),
		countCall:  loop.CountListCall,
		report:     c.mailbox.Put,
		pollWithin: pollWithin,
		agentCount: agentCount,
		seed:       seed,
	}
	c.current = newWatcher(c.watching, address)
	return c
}

// Known publishes the list that the agent was configured with; raw is empty where there is none. It has to be called before Serve.
func (c *Client) Known(raw json.RawMessage) error {
	if len(raw) == 0 {
		c.current.needsFullList = true
		return nil
	}
	list, err := protocol.ReadList(raw)
	if err != nil {
		return fmt.Errorf("setting config.known: %w", err)
	}
	list.Whole = true
	c.current.version = list.Seq
	c.publisher.publish(list)
	return nil
}

// Move goes to another address. The watch at the old one goes on until the new one has received the whole list, so that no change is
// lost between the two; once it ends it is not opened again.
//
// The new discovery may be behind: a whole list that is a moment old may lack a drain that the old discovery has reported, and publishing
// it would revoke the drain. The list is therefore held back until the new watch has brought it to the version in force, or until a
// heartbeat shows that there is nothing newer, as at a discovery with version numbers of its own. That takes one heartbeat interval at
// most.
func (c *Client) Move(address string) { c.mailbox.Put(addressChanged{address}) }

// Serve handles the mailbox until the context ends.
func (c *Client) Serve(ctx context.Context) {
	c.loop.AddReader(func(barrier agent.Barrier) { c.mailbox.Put(barrierReceived{barrier}) })
	c.current.delayAsOneOfAll()
	c.current.start(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.mailbox.Ready():
		}
		for _, received := range c.mailbox.Take(nil) {
			c.handle(ctx, received)
		}
	}
}

func (c *Client) handle(ctx context.Context, received message) {
	switch received := received.(type) {
	case listReceived:
		c.handleList(received)
	case heartbeatReceived:
		c.handleLine(received.from)
		if received.from == c.pending {
			c.promotePending()
		}
	case watchSilent:
		c.handleSilence(ctx, received.from)
	case watcherEnded:
		c.handleWatcherEnd(ctx, received.from)
	case barrierReceived:
		close(received.Done)
	case addressChanged:
		c.openPending(ctx, received.address)
	}
}

// handleList publishes a list of the current watcher, and collects those of the pending one until they are as new as what is in force.
// Lists of watchers that have been replaced are dropped.
func (c *Client) handleList(received listReceived) {
	c.handleLine(received.from)
	switch received.from {
	case c.pending:
		c.pendingList = c.pendingList.Merge(received.list)
		if c.pendingList.Seq >= c.publisher.version {
			c.promotePending()
		}
	case c.current:
		c.publisher.publish(received.list)
	}
}

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
