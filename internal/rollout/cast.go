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

// call casts one vote and hands its one answer to the core, at the latest after the told patience.
func (l *Client) call(ctx context.Context, base string, v policy.Vote) {
	ctx, stop := context.WithTimeout(ctx, l.patient)
	defer stop()
	start, since := time.Now(), l.asOf()
	how, s := l.cast(ctx, base, v)
	s.IsVoteReply, s.Outcome = true, how.Outcome()
	if how != protocol.Succeeded {
		s.Build, s.Stage = v.Build, v.Stage
	}
	slog.Info("vote", "build", v.Build, "stage", v.Stage, "verdict", protocol.VerdictNames[v.Verdict], "ending", how.String(),
		"ms", time.Since(start).Milliseconds())
	l.answered(s, since)
}

func (l *Client) cast(ctx context.Context, base string, v policy.Vote) (protocol.Result, policy.RolloutUpdate) {
	return l.castBy(ctx, l.client, base, v)
}

func (l *Client) castBy(ctx context.Context, client *http.Client, base string, v policy.Vote) (protocol.Result, policy.RolloutUpdate) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base, strings.NewReader(protocol.EncodeVote(v)))
	if err != nil {
		return protocol.NotSent, policy.RolloutUpdate{}
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	res, err := client.Do(req)
	var op *net.OpError
	switch {
	case errors.Is(err, errTooLate):
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
func (l *Client) CastBefore(v TimedVote) { l.box.Put(v) }

type beforeKey struct{}

var errTooLate = errors.New("its time is over")

// dated is a connection that writes nothing after a time. The look at the clock is the last thing before the system's call:
// a process may have stood still since any earlier one.
type dated struct {
	net.Conn
	before time.Time
}

func (c dated) Write(b []byte) (int, error) {
	if !time.Now().Before(c.before) {
		return 0, errTooLate
	}
	c.Conn.SetWriteDeadline(c.before)
	return c.Conn.Write(b)
}

func onceClient(dial time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dial}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		c, err := tcpconn.Dial(ctx, dialer, address, nil)
		if err != nil {
			return nil, err
		}
		before, _ := ctx.Value(beforeKey{}).(time.Time)
		return dated{c, before}, nil
	}}}
}

// dated casts one, and tells the news that its answer brings.
func (l *Client) dated(ctx context.Context, base string, v TimedVote) {
	ctx, stop := context.WithTimeout(context.WithValue(ctx, beforeKey{}, v.WriteBefore), l.patient)
	defer stop()
	start, since := time.Now(), l.asOf()
	how, s := l.castBy(ctx, l.once, base, v.Vote)
	slog.Info("vote", "build", v.Build, "stage", v.Stage, "verdict", protocol.VerdictNames[v.Verdict], "ending", how.String(),
		"ms", time.Since(start).Milliseconds())
	if how == protocol.Succeeded {
		if s = l.answered(s, since); l.also != nil {
			l.also(s)
		}
	}
	switch how {
	case protocol.Succeeded, protocol.NotRun, protocol.Stale, protocol.ConnectionRefused, protocol.ConnectTimeout, protocol.NotSent: // all else may yet be carried out
		v.Resolved(how != protocol.NotSent)
	}
}
