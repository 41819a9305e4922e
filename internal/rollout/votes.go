package rollout

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

// TimedVote is a vote that must not be written after a time.
type TimedVote struct {
	policy.Vote
	WriteBefore time.Time
	// Resolved is called once it is known that the vote has been carried out or never will be; wrote is false where nothing of it was written,
	// because its time had passed or no connection came up. It is not called for a vote of which nothing is known.
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

// wasWritten tells whether a resolved vote can have reached the controller: without a connection nobody has it, and counted as cast it
// would hide from operators that the controller is out of reach.
func wasWritten(result protocol.Result) bool {
	switch result {
	case protocol.NotSent, protocol.ConnectionRefused, protocol.ConnectTimeout:
		return false
	}
	return true
}

// isResolved tells whether a vote with this result has been carried out or never will be. After any other result it may yet be.
func isResolved(result protocol.Result) bool {
	switch result {
	case protocol.Succeeded, protocol.NotRun, protocol.Stale, protocol.ConnectionRefused, protocol.ConnectTimeout, protocol.NotSent:
		return true
	}
	return false
}

func logVote(vote policy.Vote, result protocol.Result, took time.Duration) {
	slog.Info("vote cast", "build", vote.Build, "stage", vote.Stage, "verdict", protocol.VerdictNames[vote.Verdict], "result", result.String(),
		"elapsed_ms", took.Milliseconds())
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

// resultOfError is the result of a call without a response.
func resultOfError(err error) protocol.Result {
	var operation *net.OpError
	switch {
	case errors.Is(err, errWriteDeadlinePassed):
		return protocol.NotSent
	case errors.Is(err, syscall.ECONNREFUSED):
		return protocol.ConnectionRefused
	case errors.As(err, &operation) && operation.Op == "dial":
		return protocol.ConnectTimeout
	}
	return protocol.TimedOut // the vote may count
}
