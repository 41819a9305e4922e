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

// Config holds the settings of a Client.
type Config struct {
	Address     string        // the rollout controller's address, host:port
	DialTimeout time.Duration // time limit for establishing a connection
	VoteTimeout time.Duration // time limit for casting a vote and receiving the reply
	Seed        int64         // seed of the random delays before retries
}

// Client receives rollout updates from the rollout controller and casts votes.
type Client struct {
	loop        *agent.Loop
	mailbox     *mailbox.Mailbox[message]
	apiURL      string
	httpClient  *http.Client
	timedClient *http.Client  // sends timed votes
	voteTimeout time.Duration // see Config.VoteTimeout
	publisher   *updatePublisher
	current     *stream // the stream whose updates are published
	// pending is a stream that replaces the current stream once an update arrives on the pending stream; nil if there is none. See
	// stream_replacement.go.
	pending *stream
	backoff *backoff.Backoff // computes the delay before a stream is opened again
}

// NewClient returns a client that passes rollout updates to the event loop. The client does not call the rollout controller before Serve.
func NewClient(loop *agent.Loop, config Config) *Client {
	return &Client{
		loop:        loop,
		mailbox:     mailbox.New[message](),
		apiURL:      apiURL(config.Address),
		httpClient:  streamclient.NewHTTPClient(config.DialTimeout, loop.UnreadInput()),
		timedClient: newTimedHTTPClient(config.DialTimeout),
		voteTimeout: config.VoteTimeout,
		publisher:   &updatePublisher{updateRollout: loop.UpdateRollout},
		backoff:     backoff.New(0, ^config.Seed), // inverted so that the delays differ from the discovery client's, which has the same seed
	}
}

// apiURL returns the base URL of the rollout controller's API.
func apiURL(address string) string { return "http://" + address + "/api/" }

// Observe makes the client pass rollout updates to observer as well as to the event loop, except for replies to votes that Vote has cast.
// It has to be called before PublishInitial and Serve.
func (c *Client) Observe(observer func(policy.RolloutUpdate)) { c.publisher.observer = observer }

// PublishInitial publishes the rollout update from the agent's configuration; raw is empty if none is configured.
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

// Vote casts a vote and passes the reply to the event loop.
func (c *Client) Vote(vote policy.Vote) { c.mailbox.Put(voteRequested{vote}) }

// VoteBefore casts a timed vote, which is not written after vote.WriteBefore.
func (c *Client) VoteBefore(vote TimedVote) { c.mailbox.Put(timedVoteRequested{vote}) }

// Probe asks the rollout controller for the state of the newest build, and calls answered if the controller answers.
func (c *Client) Probe(answered func()) { c.mailbox.Put(probeRequested{answered}) }

// Move makes the client use another address of the rollout controller. The old stream is read until the new stream has received the current
// state.
func (c *Client) Move(address string) { c.mailbox.Put(addressChanged{apiURL(address)}) }

// Serve opens the stream, handles the messages in the mailbox, and replaces a silent stream, until the context ends.
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
	case probeRequested:
		go c.probe(ctx, c.apiURL, received.answered)
	case barrierReceived:
		close(received.Done)
	case addressChanged:
		c.apiURL = received.apiURL
		c.openPending(ctx)
	case heartbeatReceived:
		received.from.recordLine()
	case updateReceived:
		c.handleUpdate(received)
	case streamEnded:
		c.handleStreamEnd(ctx, received)
	}
}
