package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/backoff"
	"switchfork/internal/mailbox"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/streamclient"
)

// Config is what a Client needs to know of its agent and of the rollout controller.
type Config struct {
	Address     string        // of the rollout controller, host:port
	DialTimeout time.Duration // within which a connection has to come up
	VoteTimeout time.Duration // within which the reply to a vote has to be there
	Seed        int64         // of the random delays before retries
}

// Client is the agent's connection to the rollout controller.
type Client struct {
	loop        *agent.Loop
	mailbox     *mailbox.Mailbox[message]
	apiURL      string
	httpClient  *http.Client
	timedClient *http.Client  // for votes with a time before which they have to be written
	voteTimeout time.Duration // for the reply to a vote
	publisher   *updatePublisher
	current     *stream // whose updates are published
	// pending is to take the current stream's place with the first update that it receives; nil where there is none. See
	// stream_replacement.go.
	pending *stream
	backoff *backoff.Backoff // before a stream is opened again
}

// NewClient returns a client that gives its rollout updates to the event loop. It makes no call before Serve.
func NewClient(loop *agent.Loop, config Config) *Client {
	return &Client{
		loop:        loop,
		mailbox:     mailbox.New[message](),
		apiURL:      apiURL(config.Address),
		httpClient:  streamclient.NewHTTPClient(config.DialTimeout, loop.UnreadInput()),
		timedClient: newTimedHTTPClient(config.DialTimeout),
		voteTimeout: config.VoteTimeout,
		publisher:   &updatePublisher{updateRollout: loop.UpdateRollout},
		backoff:     backoff.New(0, ^config.Seed), // the discovery client has the same seed: its delays are to differ
	}
}

// apiURL is the base of the rollout controller's URLs.
func apiURL(address string) string { return "http://" + address + "/api/" }

// Observe has each update given to observer, too. It has to be called before PublishInitial and Serve.
func (c *Client) Observe(observer func(policy.RolloutUpdate)) { c.publisher.observer = observer }

// PublishInitial publishes the update that the agent was configured with; raw is empty where there is none.
func (c *Client) PublishInitial(raw json.RawMessage) error {
	if len(raw) == 0 {
		return nil
	}
	update, err := protocol.ReadRolloutJSON(raw)
	if err != nil {
		return fmt.Errorf("setting config.platform.news: %w", err)
	}
	c.publisher.publish(update)
	return nil
}

// Vote casts a vote, and hands its reply to the event loop.
func (c *Client) Vote(vote policy.Vote) { c.mailbox.Put(voteRequested{vote}) }

// VoteBefore casts a vote that must not be written after a time.
func (c *Client) VoteBefore(vote TimedVote) { c.mailbox.Put(timedVoteRequested{vote}) }

// Move goes to another address. The old stream is read until the new one has brought the present state.
func (c *Client) Move(address string) { c.mailbox.Put(addressChanged{apiURL(address)}) }

// Serve handles the mailbox until the context ends.
func (c *Client) Serve(ctx context.Context) {
	c.loop.AddReader(func(barrier agent.Barrier) { c.mailbox.Put(barrierReceived{barrier}) })
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	c.current = c.openStream(ctx, 0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.replaceIfSilent(ctx)
		case <-c.mailbox.Ready():
			for _, received := range c.mailbox.Take(nil) {
				c.handle(ctx, received)
			}
		}
	}
}

func (c *Client) handle(ctx context.Context, received message) {
	switch received := received.(type) {
	case voteRequested:
		go c.castVote(ctx, c.apiURL, received.vote)
	case timedVoteRequested:
		go c.castTimedVote(ctx, c.apiURL, received.vote)
	case barrierReceived:
		close(received.Done)
	case addressChanged:
		c.apiURL = received.apiURL
		c.reopenPending(ctx)
	case heartbeatReceived:
		received.from.recordLine()
	case updateReceived:
		c.handleUpdate(received)
	case streamEnded:
		c.handleStreamEnd(ctx, received)
	}
}
