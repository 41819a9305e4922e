package rollout

import (
	"context"
	"log/slog"
	"net/http"
	"time"
)

// probe opens a stream of its own and closes it as soon as the rollout controller has answered, for as long as a vote may take. A stream
// changes nothing at the controller, and an answer on a new connection can't be older than the call.
func (c *Client) probe(ctx context.Context, apiURL string, answered func()) {
	ctx, cancel := context.WithTimeout(withWriteDeadline(ctx, time.Now().Add(c.voteTimeout)), c.voteTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, apiURL+streamPath, nil)
	if err != nil {
		return // the URL that all other calls use is valid
	}
	response, err := c.timedClient.Do(request)
	if err != nil {
		slog.Warn("rollout controller did not answer a probe", "err", err)
		return
	}
	_ = response.Body.Close() // nothing of the stream is read
	if response.StatusCode == http.StatusOK {
		answered()
	}
}
