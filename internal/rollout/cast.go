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
	"switchfork/internal/tcpconn"
)

// castAndPublish casts one vote and hands its one answer to the core, at the latest after the told patience.
func (l *Client) castAndPublish(ctx context.Context, base string, v policy.Vote) {
	ctx, stop := context.WithTimeout(ctx, l.voteTimeout)
	defer stop()
	start, countAtStart := time.Now(), l.publishedCount()
	result, s := l.send(ctx, base, v)
	s.IsVoteReply, s.Outcome = true, result.Outcome()
	if result != protocol.Succeeded {
		s.Build, s.Stage = v.Build, v.Stage
	}
	slog.Info("vote", "build", v.Build, "stage", v.Stage, "verdict", protocol.VerdictNames[v.Verdict], "ending", result.String(),
		"ms", time.Since(start).Milliseconds())
	l.publishReply(s, countAtStart)
}

func (l *Client) send(ctx context.Context, base string, v policy.Vote) (protocol.Result, policy.RolloutUpdate) {
	return l.sendBy(ctx, l.httpClient, base, v)
}

func (l *Client) sendBy(ctx context.Context, client *http.Client, base string, v policy.Vote) (protocol.Result, policy.RolloutUpdate) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base, strings.NewReader(protocol.EncodeVote(v)))
	if err != nil {
		return protocol.NotSent, policy.RolloutUpdate{}
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	res, err := client.Do(req)
	var op *net.OpError
	switch {
	case errors.Is(err, errWriteDeadlinePassed):
		return protocol.NotSent, policy.RolloutUpdate{}
	case errors.Is(err, syscall.ECONNREFUSED):
		return protocol.ConnectionRefused, policy.RolloutUpdate{}
	case errors.As(err, &op) && op.Op == "dial":
		return protocol.ConnectTimeout, policy.RolloutUpdate{}
	case err != nil:
		return protocol.TimedOut, policy.RolloutUpdate{} // it may count
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, protocol.BodyLimit))
	if err != nil {
		return protocol.TimedOut, policy.RolloutUpdate{}
	}
	return protocol.ReadVoteReply(res.StatusCode, raw)
}

// TimedVote is a vote that must not be written after a time. over is told once it is known to be carried out, or never to be;
// a vote that nothing is known of is not over.
type TimedVote struct {
	policy.Vote
	WriteBefore time.Time
	Resolved    func(wrote bool)
}

// CastBefore writes a dated vote.
func (l *Client) CastBefore(v TimedVote) { l.mailbox.Put(v) }

type writeDeadlineKey struct{}

var errWriteDeadlinePassed = errors.New("its time is over")

// deadlineConn is a connection that writes nothing after a time. The look at the clock is the last thing before the system's call:
// a process may have stood still since any earlier one.
type deadlineConn struct {
	net.Conn
	writeBefore time.Time
}

func (c deadlineConn) Write(b []byte) (int, error) {
	if !time.Now().Before(c.writeBefore) {
		return 0, errWriteDeadlinePassed
	}
	c.Conn.SetWriteDeadline(c.writeBefore)
	return c.Conn.Write(b)
}

func newTimedHTTPClient(dialTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		c, err := tcpconn.Dial(ctx, dialer, address, nil)
		if err != nil {
			return nil, err
		}
		before, _ := ctx.Value(writeDeadlineKey{}).(time.Time)
		return deadlineConn{c, before}, nil
	}}}
}

// castTimed casts one, and tells the news that its answer brings.
func (l *Client) castTimed(ctx context.Context, base string, v TimedVote) {
	ctx, stop := context.WithTimeout(context.WithValue(ctx, writeDeadlineKey{}, v.WriteBefore), l.voteTimeout)
	defer stop()
	start, countAtStart := time.Now(), l.publishedCount()
	result, s := l.sendBy(ctx, l.timedClient, base, v.Vote)
	slog.Info("vote", "build", v.Build, "stage", v.Stage, "verdict", protocol.VerdictNames[v.Verdict], "ending", result.String(),
		"ms", time.Since(start).Milliseconds())
	if result == protocol.Succeeded {
		if s = l.publishReply(s, countAtStart); l.observer != nil {
			l.observer(s)
		}
	}
	switch result {
	case protocol.Succeeded, protocol.NotRun, protocol.Stale, protocol.ConnectionRefused, protocol.ConnectTimeout, protocol.NotSent: // all else may yet be carried out
		v.Resolved(result != protocol.NotSent)
	}
}
