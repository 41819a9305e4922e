package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/backoff"
	"switchfork/internal/mailbox"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
	"switchfork/internal/streamclient"
)

const (
	// heartbeatInterval is the protocol's interval of heartbeats on the stream.
	heartbeatInterval = time.Second
	// maxMissedHeartbeats is after how many intervals without a line a stream counts as silent and is replaced.
	maxMissedHeartbeats = 3
)

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
	// pending is to take the current stream's place with the first update that it receives; nil where there is none.
	pending *stream
	backoff *backoff.Backoff
}

// NewClient returns a client of the rollout controller at an address. A connection has to come up within dialTimeout, and the reply to a
// vote has to be there within voteTimeout.
func NewClient(loop *agent.Loop, address string, dialTimeout, voteTimeout time.Duration, seed int64) *Client {
	return &Client{
		loop:        loop,
		mailbox:     mailbox.New[message](),
		apiURL:      apiURL(address),
		httpClient:  streamclient.NewHTTPClient(dialTimeout, loop.UnreadInput()),
		timedClient: newTimedHTTPClient(dialTimeout),
		voteTimeout: voteTimeout,
		publisher:   &updatePublisher{updateRollout: loop.UpdateRollout},
		backoff:     backoff.New(0, ^seed), // the discovery client has the same seed: its waits are to differ
	}
}

func apiURL(address string) string { return "http://" + address + "/api/" }

// Observe has each update given to observer, too. It has to be called before Known and Serve.
func (c *Client) Observe(observer func(policy.RolloutUpdate)) { c.publisher.observer = observer }

// Known publishes the update that the agent was configured with; raw is empty where there is none.
func (c *Client) Known(raw json.RawMessage) error {
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

// CastBefore casts a vote that must not be written after a time.
func (c *Client) CastBefore(vote TimedVote) { c.mailbox.Put(timedVoteRequested{vote}) }

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

// handleUpdate publishes an update of the current stream. A pending stream becomes the current one with its first update: that is the
// present state, so that nothing is lost between the two. Updates of streams that have been replaced are dropped.
func (c *Client) handleUpdate(received updateReceived) {
	received.from.recordLine()
	if received.from == c.pending {
		c.current.cancel()
		c.current, c.pending = c.pending, nil
	}
	if received.from != c.current {
		return
	}
	update := received.update
	slog.Info("rollout update received", "build", update.Build, "stage", update.Stage, "phase", update.Phase, "cap", update.Cap, "age_ms", update.Age/1000)
	c.publisher.publish(update)
}

// handleStreamEnd opens another stream in place of one that is still needed.
func (c *Client) handleStreamEnd(ctx context.Context, ended streamEnded) {
	switch ended.from {
	case c.pending:
		c.pending = nil
		if c.current.apiURL != c.apiURL { // the current stream is at an address that has been left, and is about to end
			c.pending = c.openStream(ctx, c.retryPause(ended.err))
		}
	case c.current:
		if ended.from.hasReceived {
			c.backoff.Reset()
		}
		ratelog.Warn("news", "rollout stream ended", "err", ended.err)
		c.current, c.pending = c.pending, nil
		if c.current == nil {
			c.current = c.openStream(ctx, c.retryPause(ended.err))
		}
	}
}

func (c *Client) retryPause(err error) backoff.Micros {
	return c.backoff.Next(streamclient.BackoffReason(err))
}

// replaceIfSilent opens another stream beside a current one that is silent. The silent one is not closed before the new one has brought an
// update, as an update that is sent between the two is not sent again.
func (c *Client) replaceIfSilent(ctx context.Context) {
	if !c.current.isSilent() {
		return
	}
	if c.pending == nil || c.pending.isSilent() {
		c.reopenPending(ctx)
	}
}

// reopenPending opens a pending stream at the present address, in place of one that may be there.
func (c *Client) reopenPending(ctx context.Context) {
	if c.pending != nil {
		c.pending.cancel()
	}
	c.pending = c.openStream(ctx, 0)
}

func (c *Client) openStream(ctx context.Context, pause backoff.Micros) *stream {
	return openStream(ctx, c.httpClient, c.apiURL, pause, c.mailbox.Put)
}
