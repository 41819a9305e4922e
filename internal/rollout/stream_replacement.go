package rollout

import (
	"context"
	"log/slog"

	"switchfork/internal/backoff"
	"switchfork/internal/ratelog"
	"switchfork/internal/streamclient"
)

const microsPerMilli = 1000

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
	slog.Info("rollout update received", "build", update.Build, "stage", update.Stage, "phase", update.Phase, "cap", update.Cap,
		"age_ms", update.Age/microsPerMilli)
	c.publisher.publish(update)
}

// handleStreamEnd opens another stream in place of one that is still needed.
func (c *Client) handleStreamEnd(ctx context.Context, ended streamEnded) {
	switch ended.from {
	case c.pending:
		c.pending = nil
		if c.current.apiURL != c.apiURL { // the current stream is at an address that has been left, and is about to end
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

func (c *Client) openStream(ctx context.Context, delay backoff.Micros) *stream {
	return openStream(ctx, c.httpClient, c.apiURL, delay, c.mailbox.Put)
}
