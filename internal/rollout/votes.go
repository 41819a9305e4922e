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

// TimedVote is a vote that must not be written after a time.
type TimedVote struct {
	policy.Vote
	WriteBefore time.Time
	// Resolved is called once it is known that the vote has been carried out or never will be; wrote is false where nothing of it was written,
	// because its time had passed or no connection came up. It is not called for a vote that may yet be carried out.
	Resolved func(wrote bool)
}

// castVote casts one vote and publishes its one reply, at the latest after the vote timeout.
func (c *Client) castVote(ctx context.Context, apiURL string, vote policy.Vote) {
	ctx, cancel := context.WithTimeout(ctx, c.voteTimeout)
	defer cancel()
	start, countAtStart := time.Now(), c.publisher.published()
	result, reply := sendVote(ctx, c.httpClient, apiURL, vote)
	reply.IsVoteReply, reply.Outcome = true, result.Outcome()
	if result != protocol.Succeeded {
		reply.Build, reply.Stage = vote.Build, vote.Stage
	}
	logVote(vote, result, time.Since(start))
	c.publisher.publishReply(reply, countAtStart)
}

// castTimedVote casts one timed vote and publishes the state that its reply brings.
func (c *Client) castTimedVote(ctx context.Context, apiURL string, vote TimedVote) {
	ctx, cancel := context.WithTimeout(withWriteDeadline(ctx, vote.WriteBefore), c.voteTimeout)
	defer cancel()
	start, countAtStart := time.Now(), c.publisher.published()
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

// sendVote makes the call of one vote. The update is empty unless the vote has succeeded.
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
	defer func() { _ = response.Body.Close() }() // only read from: closing it can lose nothing
	raw, err := io.ReadAll(io.LimitReader(response.Body, protocol.BodyLimit))
	if err != nil {
		return protocol.TimedOut, policy.RolloutUpdate{}
	}
	return protocol.ReadVoteReply(response.StatusCode, raw)
}
