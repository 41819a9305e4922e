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

// Config holds the settings of a Client.
type Config struct {
	Address     string        // discovery's address, host:port
	Zones       []string      // configured zones; list entries in other zones are skipped. If empty, all zones are accepted
	DialTimeout time.Duration // time limit for establishing a connection
	PollWithin  time.Duration // time within which an agent without a watch should call discovery; 0 if not configured
	AgentCount  int           // number of agents that call discovery
	Seed        int64         // seed of the random delays before calls
}

// Client keeps the event loop's endpoint list up to date with discovery's.
type Client struct {
	loop          *agent.Loop
	mailbox       *mailbox.Mailbox[message]
	watcherConfig watchConfig
	publisher     *listPublisher
	address       string   // discovery's address, or the new address while a move is in progress
	current       *watcher // the watcher whose lists are published
	// successor is a second watcher at the address of the current one. It runs while the current watcher is silent; nil otherwise. See
	// successor.go.
	successor *watcher
	// pending is the watcher at the new address while a move is in progress; nil otherwise. See move.go.
	pending *watcher
	// pendingList is the list that the pending watcher has received. It is published when that watcher becomes the current one.
	pendingList protocol.List
}

// NewClient returns a client that passes endpoint updates to the event loop. The client does not call discovery before Serve.
func NewClient(loop *agent.Loop, config Config) *Client {
	c := &Client{
		loop:      loop,
		mailbox:   mailbox.New[message](),
		publisher: newListPublisher(loop, config.Zones),
		address:   config.Address,
	}
	c.watcherConfig = watchConfig{
		httpClient: streamclient.NewHTTPClient(config.DialTimeout, loop.UnreadInput()),
		countCall:  loop.CountListCall,
		report:     c.mailbox.Put,
		pollWithin: config.PollWithin,
		agentCount: config.AgentCount,
		seed:       config.Seed,
	}
	c.current = newWatcher(c.watcherConfig, config.Address)
	return c
}

// PublishInitial publishes the list from the agent's configuration; raw is empty if none is configured. It has to be called before Serve.
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

// Serve starts the current watcher and handles the messages in the mailbox until the context ends.
func (c *Client) Serve(ctx context.Context) {
	c.loop.AddReader(func(barrier agent.Barrier) { c.mailbox.Put(barrierReceived{barrier}) })
	c.current.setStartDelay()
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

// handleList publishes a list of the current watcher. Lists of the pending watcher are merged into pendingList, which is published once
// its version is at least the published version. The pending watcher then becomes the current one. Lists of watchers that have been
// replaced are dropped.
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

// handleHeartbeat makes the pending watcher the current one if the pending watcher received the heartbeat. The heartbeat shows that
// discovery has already sent this watcher all changes that discovery knows of.
func (c *Client) handleHeartbeat(from *watcher) {
	c.resolveSuccessor(from)
	if from == c.pending {
		c.promotePending()
	}
}
