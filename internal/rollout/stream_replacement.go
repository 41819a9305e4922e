package rollout

import (
	"context"
	"log/slog"

	"switchfork/internal/backoff"
	"switchfork/internal/ratelog"
	"switchfork/internal/streamclient"
)

const microsPerMilli = 1000

// handleUpdate publishes an update of the current stream. A pending stream becomes the current one when its first update arrives. That update
// holds the current state, so no update is missed in the change. Updates of streams that have been replaced are dropped.
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
	slog.Info("rollout update received", "build", update.Build, "stage", update.Stage, "phase", update.Phase, "cap", update.Cap,
		"age_ms", update.Age/microsPerMilli)
	c.publisher.publish(update)
}

// handleStreamEnd replaces a stream that has ended, if it is still needed.
func (c *Client) handleStreamEnd(ctx context.Context, ended streamEnded) {
	switch ended.from {
	case c.pending:
		c.pending = nil
		if c.current.apiURL != c.apiURL { // the client has moved away from the current stream's address, so that stream will end soon
			c.pending = c.openStream(ctx, c.retryDelay(ended.err))
		}
	case c.current:
		if ended.from.hasReceived {
			c.backoff.Reset()
		}
		ratelog.Warn("rollout stream", "rollout stream ended", "err", ended.err)
		c.current, c.pending = c.pending, nil
		if c.current == nil {
			c.current = c.openStream(ctx, c.retryDelay(ended.err))
		}
	}
}

func (c *Client) retryDelay(err error) backoff.Micros {
	return c.backoff.Next(streamclient.BackoffReason(err))
}

// replaceIfSilent opens a pending stream if the current stream is silent. The silent stream stays open until the pending stream has
// received an update, because the controller does not repeat an update that it sent while no stream was open.
func (c *Client) replaceIfSilent(ctx context.Context) {
	if !c.current.isSilent() {
		return
	}
	if c.pending == nil || c.pending.isSilent() {
		c.openPending(ctx)
	}
}

// openPending opens a pending stream at the client's current address. An earlier pending stream is closed.
func (c *Client) openPending(ctx context.Context) {
	if c.pending != nil {
		c.pending.cancel()
	}
	c.pending = c.openStream(ctx, 0)
}

func (c *Client) openStream(ctx context.Context, delay backoff.Micros) *stream {
	return openStream(ctx, c.httpClient, c.apiURL, delay, c.mailbox.Put)
}
