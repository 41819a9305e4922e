package rollout

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

// TimedVote is a vote that must not be written to the connection after WriteBefore.
type TimedVote struct {
	policy.Vote
	WriteBefore time.Time
	// Resolved is called when it is known that the vote has been carried out or never will be. wrote is false if nothing was written, because
	// WriteBefore had passed or no connection was established. Resolved is not called for a vote that may still be carried out.
	Resolved func(wrote bool)
}

// castVote casts a vote and publishes exactly one update with the vote's outcome, at the latest when the vote timeout expires.
func (c *Client) castVote(ctx context.Context, apiURL string, vote policy.Vote) {
	ctx, cancel := context.WithTimeout(ctx, c.voteTimeout)
	defer cancel()
	start, countAtStart := time.Now(), c.publisher.publishedCount()
	result, reply := sendVote(ctx, c.httpClient, apiURL, vote)
	reply.IsVoteReply, reply.Outcome = true, result.Outcome()
	if result != protocol.Succeeded {
		reply.Build, reply.Stage = vote.Build, vote.Stage
	}
	logVote(vote, result, time.Since(start))
	c.publisher.publishReply(reply, countAtStart)
}

// castTimedVote casts a timed vote and publishes the rollout state from its reply.
func (c *Client) castTimedVote(ctx context.Context, apiURL string, vote TimedVote) {
	ctx, cancel := context.WithTimeout(withWriteDeadline(ctx, vote.WriteBefore), c.voteTimeout)
	defer cancel()
	start, countAtStart := time.Now(), c.publisher.publishedCount()
	result, reply := sendVote(ctx, c.timedClient, apiURL, vote.Vote)
	logVote(vote.Vote, result, time.Since(start))
	if result == protocol.Succeeded {
		update := c.publisher.publishReply(reply, countAtStart)
		c.publisher.notifyObserver(update)
	}
	if isResolved(result) {
		vote.Resolved(wasWritten(result))
	}
}

func logVote(vote policy.Vote, result protocol.Result, elapsed time.Duration) {
	slog.Info("vote cast", "build", vote.Build, "stage", vote.Stage, "verdict", protocol.VerdictName(vote.Verdict), "result", result.String(),
		"elapsed_ms", elapsed.Milliseconds())
}

// sendVote makes the HTTP call for a vote. The update is empty unless the result is protocol.Succeeded.
func sendVote(ctx context.Context, httpClient *http.Client, apiURL string, vote policy.Vote) (protocol.Result, policy.RolloutUpdate) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, apiURL, strings.NewReader(protocol.EncodeVote(vote)))
	if err != nil {
		return protocol.NotSent, policy.RolloutUpdate{}
	}
	request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	response, err := httpClient.Do(request)
	if err != nil {
		return resultOfError(err), policy.RolloutUpdate{}
	}
	defer func() { _ = response.Body.Close() }() // a body that is only read loses no data on close
	raw, err := io.ReadAll(io.LimitReader(response.Body, protocol.BodyLimit))
	if err != nil {
		return protocol.TimedOut, policy.RolloutUpdate{}
	}
	return protocol.ReadVoteReply(response.StatusCode, raw)
}
