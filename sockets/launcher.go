package sockets

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"switchfork/brain"
)

// This file owns the way to the launcher: votes with exactly one answer each, and the stream of its news. It must
// never cast, hold back or repeat a vote by itself.

// Launcher is its actor.
type Launcher struct {
	core    *Core
	base    string
	patient time.Duration // for the answer to a vote
	box     *mailbox[any]
	calls   *http.Client
	streams *http.Client
	now     *stream // the one that is believed
	next    *stream // the one that is to take its place
	fails   int
}

// stream is one connection that brings news.
type stream struct {
	stop context.CancelFunc
	line time.Time // the last
}

type (
	lineIn struct {
		from *stream
		data string // empty: a sign of life
	}
	streamEnd struct {
		from *stream
		err  error
	}
	look struct{} // at the time
)

func NewLauncher(core *Core, address string, dial, patient time.Duration) *Launcher {
	// Votes are rare; a connection each leaves none to go stale while it is idle.
	calls := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dial}).DialContext,
		DisableKeepAlives: true, DisableCompression: true}}
	return &Launcher{core: core, base: "http://" + address + "/api/", patient: patient, box: newMailbox[any](),
		calls: calls, streams: streamClient(dial)}
}

// Known takes the news that the agent was started with.
func (l *Launcher) Known(raw json.RawMessage) error {
	if len(raw) == 0 {
		return nil
	}
	s, err := readNewsJSON(raw)
	if err != nil {
		return fmt.Errorf("setting config.platform.news: %w", err)
	}
	l.core.urgent.put(s)
	return nil
}

func (l *Launcher) put(v brain.Vote) { l.box.put(v) }

const newsSign = time.Second // the protocol's

// Serve empties the mailbox until the end.
func (l *Launcher) Serve(ctx context.Context) {
	tick := time.NewTicker(newsSign)
	defer tick.Stop()
	l.now = l.open(ctx, 0)
	for {
		var notes []any
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			notes = []any{look{}}
		case <-l.box.bell:
			notes = l.box.take(nil)
		}
		for _, n := range notes {
			l.note(ctx, n)
		}
	}
}

func (l *Launcher) note(ctx context.Context, n any) {
	switch n := n.(type) {
	case brain.Vote:
		go l.call(ctx, n)
	case lineIn:
		n.from.line = time.Now()
		if n.from == l.next && n.data != "" { // it has brought where things stand: nothing is lost between
			l.now.stop()
			l.now, l.next = l.next, nil
		}
		if n.from == l.now || n.from == l.next {
			l.news(n.data)
		}
	case streamEnd:
		switch n.from {
		case l.next:
			l.next = nil
		case l.now:
			if l.fails++; time.Since(n.from.line) < signsMissed*newsSign {
				l.fails = 0
			}
			complaints.warn("news", "news stream ended", "err", n.err)
			if l.now, l.next = l.next, nil; l.now == nil {
				l.now = l.open(ctx, l.fails)
			}
		}
	case look:
		if time.Since(l.now.line) < signsMissed*newsSign {
			return
		}
		// Silent: the new one is opened before the old is closed, as what is told in between is not told again.
		if l.next == nil {
			l.next = l.open(ctx, 0)
		} else if time.Since(l.next.line) >= signsMissed*newsSign {
			l.next.stop()
			l.next = l.open(ctx, 0)
		}
	}
}

func (l *Launcher) news(data string) {
	if data == "" {
		return
	}
	s, err := readNewsForm(data)
	if err != nil {
		complaints.warn("news data", "news that can't be read", "err", err)
		return
	}
	slog.Info("news", "build", s.Build, "stage", s.Stage, "phase", s.Phase, "cap", s.Cap, "age_ms", s.Age/1000)
	l.core.urgent.put(s)
}

// open starts a stream, after a pause where some failed.
func (l *Launcher) open(ctx context.Context, fails int) *stream {
	ctx, stop := context.WithCancel(ctx)
	s := &stream{stop: stop, line: time.Now()}
	go func() {
		if fails > 0 {
			pause(ctx, fails)
		}
		l.box.put(streamEnd{s, l.follow(ctx, s)})
	}()
	return s
}

func (l *Launcher) follow(ctx context.Context, s *stream) error {
	defer s.stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"bulletin", nil)
	if err != nil {
		return err
	}
	res, err := l.streams.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	sc, kind := bufio.NewScanner(res.Body), ""
	for sc.Scan() {
		field, value, _ := strings.Cut(sc.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case sc.Text() == "":
			kind = ""
		case field == "event":
			kind = value
		case field == "data" && kind == "ROLLOUT":
			l.box.put(lineIn{s, value})
		case field == "data":
			complaints.warn("news kind", "news of a kind not known here", "kind", fmt.Sprintf("%.40q", kind))
		default:
			l.box.put(lineIn{from: s})
		}
	}
	return sc.Err()
}

// call casts one vote and hands its one answer to the core, at the latest after the told patience.
func (l *Launcher) call(ctx context.Context, v brain.Vote) {
	ctx, stop := context.WithTimeout(ctx, l.patient)
	defer stop()
	start := time.Now()
	how, s := l.cast(ctx, v)
	s.Answer, s.Outcome = true, how.outcome()
	if how != Settled {
		s.Build, s.Stage = v.Build, v.Stage
	}
	slog.Info("vote", "build", v.Build, "stage", v.Stage, "verdict", verdicts[v.Verdict], "ending", how.String(),
		"ms", time.Since(start).Milliseconds())
	l.core.urgent.put(s)
}

func (l *Launcher) cast(ctx context.Context, v brain.Vote) (Ending, brain.Staged) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.base, strings.NewReader(voteForm(v)))
	if err != nil {
		return NotSent, brain.Staged{}
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	res, err := l.calls.Do(req)
	var op *net.OpError
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused, brain.Staged{}
	case errors.As(err, &op) && op.Op == "dial":
		return NeverUp, brain.Staged{}
	case err != nil:
		return Silent, brain.Staged{} // it may count
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, bodyLimit))
	if err != nil {
		return Silent, brain.Staged{}
	}
	return readVoteAnswer(res.StatusCode, raw)
}
