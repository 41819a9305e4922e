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

// Config is what a Client needs to know of its agent and of discovery.
type Config struct {
	Address     string        // of discovery, host:port
	Zones       []string      // the configured zones; an entry in any other one is skipped. Empty: every zone is taken
	DialTimeout time.Duration // within which a connection has to come up
	PollWithin  time.Duration // the configured time in which an agent without a watch should call; 0: not configured
	AgentCount  int           // the number of agents that call
	Seed        int64         // of the random delays before calls
}

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
	// pending watches the address that is to take the current one's place; nil while there is no move. See move.go.
	pending *watcher
	// pendingList is what the pending watcher has received. It is published when that watcher becomes the current one.
	pendingList protocol.List
}

// NewClient returns a client that gives its endpoint updates to the event loop. It makes no call before Serve.
func NewClient(loop *agent.Loop, config Config) *Client {
	c := &Client{
		loop:      loop,
		mailbox:   mailbox.New[message](),
		publisher: newListPublisher(loop, config.Zones),
		address:   config.Address,
	}
	c.watching = watchConfig{
		httpClient: streamclient.NewHTTPClient(config.DialTimeout, loop.UnreadInput()),
		countCall:  loop.CountListCall,
		report:     c.mailbox.Put,
		pollWithin: config.PollWithin,
		agentCount: config.AgentCount,
		seed:       config.Seed,
	}
	c.current = newWatcher(c.watching, config.Address)
	return c
}

// PublishInitial publishes the list that the agent was configured with; raw is empty where there is none. It has to be called before Serve.
func (c *Client) PublishInitial(raw json.RawMessage) error {
	if len(raw) == 0 {
		c.current.needsFullList = true
		return nil
	}
	list, err := protocol.ReadList(raw)
	if err != nil {
		return fmt.Errorf("setting config.known: %w", err)
	}
	list.IsFull = true
	c.current.version = list.Version
	c.publisher.publish(list)
	return nil
}

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
		c.handleHeartbeat(received.from)
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
	c.resolveSuccessor(received.from)
	switch received.from {
	case c.pending:
		c.pendingList = c.pendingList.Merge(received.list)
		if c.pendingList.Version >= c.publisher.version {
			c.promotePending()
		}
	case c.current:
		c.publisher.publish(received.list)
	}
}

// handleHeartbeat puts the pending watcher in force: a heartbeat shows that its discovery has nothing newer than what it has sent.
func (c *Client) handleHeartbeat(from *watcher) {
	c.resolveSuccessor(from)
	if from == c.pending {
		c.promotePending()
	}
}
