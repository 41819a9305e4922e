package agent

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
	"sync"
	"syscall"
	"time"

	"switchfork/internal/backoff"
	"switchfork/internal/policy"
)

// This file owns the way to the launcher: votes with exactly one answer each, and the stream of its news. It must
// never cast, hold back or repeat a vote by itself.

// RolloutClient is its actor.
type RolloutClient struct {
	core    *Loop
	base    string
	patient time.Duration // for the answer to a vote
	box     *Mailbox[any]
	client  *http.Client
	once    *http.Client               // for votes that have a time after which they must not be written
	also    func(policy.RolloutUpdate) // hears the news, too; nil: nobody
	now     *stream                    // the one that is believed
	next    *stream                    // the one that is to take its place
	again   *backoff.Backoff

	mu     sync.Mutex
	told   int                  // how often where things stand has been told
	latest policy.RolloutUpdate // as it was told last
}

// stream is one connection that brings news.
type stream struct {
	stop  context.CancelFunc
	base  string
	line  time.Time // the last
	spoke bool      // it has brought something
}

type (
	lineIn struct {
		from *stream
		news *policy.RolloutUpdate // nil: a sign of life
	}
	streamEnd struct {
		from *stream
		err  error
	}
	look  struct{} // at the time
	moved struct{ base string }
)

func NewRolloutClient(core *Loop, address string, dial, patient time.Duration, seed int64) *RolloutClient {
	return &RolloutClient{
		core: core, base: at(address), patient: patient, box: NewMailbox[any](),
		client: NewHTTPClient(dial, core.UnreadInput()), once: onceClient(dial), again: backoff.New(0, ^seed),
	}
}

// Observe names who else hears the news. It is to be called before Known and Serve.
func (l *RolloutClient) Observe(hear func(policy.RolloutUpdate)) { l.also = hear }

// tell gives news to the module, and to who else hears it.
func (l *RolloutClient) tell(s policy.RolloutUpdate) {
	l.mu.Lock()
	l.told, l.latest = l.told+1, s
	l.core.UpdateRollout(s)
	l.mu.Unlock()
	if l.also != nil {
		l.also(s)
	}
}

// asOf is how often where things stand has been told by now.
func (l *RolloutClient) asOf() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told
}

// answered gives a vote's answer to the module. Where things stand comes in answers and by the stream, on ways of their own: an answer
// that was written before the launcher sent a build back may be read after its news, and would put the build on trial again. What was
// told since the call began stands, then; the stream tells whatever is newer than that.
func (l *RolloutClient) answered(s policy.RolloutUpdate, since int) policy.RolloutUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Outcome == policy.OK {
		if l.told > since {
			latest := l.latest
			latest.IsVoteReply, latest.Outcome = s.IsVoteReply, s.Outcome
			s = latest
		}
		l.told, l.latest = l.told+1, s
	}
	l.core.UpdateRollout(s)
	return s
}

func at(address string) string { return "http://" + address + "/api/" }

// Move goes to another address. The old stream is read until the new one has brought where things stand.
func (l *RolloutClient) Move(address string) { l.box.Put(moved{at(address)}) }

// Known takes the news that the agent was started with.
func (l *RolloutClient) Known(raw json.RawMessage) error {
	if len(raw) == 0 {
		return nil
	}
	s, err := ReadRolloutJSON(raw)
	if err != nil {
		return fmt.Errorf("setting config.platform.news: %w", err)
	}
	l.tell(s)
	return nil
}

func (l *RolloutClient) Vote(v policy.Vote) { l.box.Put(v) }

const newsSign = time.Second // the protocol's

// Serve empties the mailbox until the end.
func (l *RolloutClient) Serve(ctx context.Context) {
	l.core.AddReader(func(n Barrier) { l.box.Put(n) })
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
		case <-l.box.Ready():
			notes = l.box.Take(nil)
		}
		for _, n := range notes {
			l.note(ctx, n)
		}
	}
}

func (l *RolloutClient) note(ctx context.Context, n any) {
	switch n := n.(type) {
	case policy.Vote:
		go l.call(ctx, l.base, n)
	case TimedVote:
		go l.dated(ctx, l.base, n)
	case Barrier:
		close(n.Done)
	case moved:
		if l.base = n.base; l.next != nil {
			l.next.stop()
		}
		l.next = l.open(ctx, 0)
	case lineIn:
		n.from.line, n.from.spoke = time.Now(), true
		if n.from == l.next && n.news != nil { // it has brought where things stand: nothing is lost between
			l.now.stop()
			l.now, l.next = l.next, nil
		}
		if s := n.news; s != nil && n.from == l.now {
			slog.Info("news", "build", s.Build, "stage", s.Stage, "phase", s.Phase, "cap", s.Cap, "age_ms", s.Age/1000)
			l.tell(*s)
		}
	case streamEnd:
		switch n.from {
		case l.next:
			if l.next = nil; l.now.base != l.base { // the old one is about to end
				l.next = l.open(ctx, l.again.Next(BackoffReason(n.err)))
			}
		case l.now:
			if n.from.spoke {
				l.again.Reset()
			}
			complaints.Warn("news", "news stream ended", "err", n.err)
			if l.now, l.next = l.next, nil; l.now == nil {
				l.now = l.open(ctx, l.again.Next(BackoffReason(n.err)))
			}
		}
	case look:
		if time.Since(l.now.line) < MissedSigns*newsSign {
			return
		}
		// Silent: the new one is opened before the old is closed, as what is told in between is not told again.
		if l.next == nil {
			l.next = l.open(ctx, 0)
		} else if time.Since(l.next.line) >= MissedSigns*newsSign {
			l.next.stop()
			l.next = l.open(ctx, 0)
		}
	}
}

// open starts a stream, after a pause where one failed.
func (l *RolloutClient) open(ctx context.Context, pause backoff.Micros) *stream {
	ctx, stop := context.WithCancel(ctx)
	s := &stream{stop: stop, base: l.base, line: time.Now()}
	go func() {
		if pause > 0 {
			Sleep(ctx, pause)
		}
		l.box.Put(streamEnd{s, l.follow(ctx, s)})
	}()
	return s
}

func (l *RolloutClient) follow(ctx context.Context, s *stream) error {
	defer s.stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.base+"bulletin", nil)
	if err != nil {
		return err
	}
	res, err := l.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return StatusError(res.StatusCode)
	}
	// An event counts with the empty line that ends it: one that is cut off may read as another. What can't be read
	// makes the connection useless, and a new one brings where things stand at once.
	sc, kind, data := bufio.NewScanner(res.Body), "", ""
	for sc.Scan() {
		field, value, _ := strings.Cut(sc.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case sc.Text() == "" && kind == "ROLLOUT":
			news, err := ReadRolloutForm(data)
			if err != nil {
				return fmt.Errorf("news that can't be read: %w", err)
			}
			l.box.Put(lineIn{s, &news})
			kind, data = "", ""
		case sc.Text() == "":
			if data != "" {
				complaints.Warn("news kind", "news of a kind not known here", "kind", fmt.Sprintf("%.40q", kind))
			}
			kind, data = "", ""
		case field == "":
			l.box.Put(lineIn{from: s})
		case field == "event":
			kind = value
		case field == "data":
			data = value
		case field != "id" && field != "retry":
			return fmt.Errorf("a line that is none of an event stream: %.40q", sc.Text())
		}
	}
	return sc.Err()
}

// call casts one vote and hands its one answer to the core, at the latest after the told patience.
func (l *RolloutClient) call(ctx context.Context, base string, v policy.Vote) {
	ctx, stop := context.WithTimeout(ctx, l.patient)
	defer stop()
	start, since := time.Now(), l.asOf()
	how, s := l.cast(ctx, base, v)
	s.IsVoteReply, s.Outcome = true, how.Outcome()
	if how != Succeeded {
		s.Build, s.Stage = v.Build, v.Stage
	}
	slog.Info("vote", "build", v.Build, "stage", v.Stage, "verdict", VerdictNames[v.Verdict], "ending", how.String(),
		"ms", time.Since(start).Milliseconds())
	l.answered(s, since)
}

func (l *RolloutClient) cast(ctx context.Context, base string, v policy.Vote) (Result, policy.RolloutUpdate) {
	return l.castBy(ctx, l.client, base, v)
}

func (l *RolloutClient) castBy(ctx context.Context, client *http.Client, base string, v policy.Vote) (Result, policy.RolloutUpdate) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base, strings.NewReader(EncodeVote(v)))
	if err != nil {
		return NotSent, policy.RolloutUpdate{}
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	res, err := client.Do(req)
	var op *net.OpError
	switch {
	case errors.Is(err, errTooLate):
		return NotSent, policy.RolloutUpdate{}
	case errors.Is(err, syscall.ECONNREFUSED):
		return ConnectionRefused, policy.RolloutUpdate{}
	case errors.As(err, &op) && op.Op == "dial":
		return ConnectTimeout, policy.RolloutUpdate{}
	case err != nil:
		return TimedOut, policy.RolloutUpdate{} // it may count
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, BodyLimit))
	if err != nil {
		return TimedOut, policy.RolloutUpdate{}
	}
	return ReadVoteReply(res.StatusCode, raw)
}

// TimedVote is a vote that must not be written after a time. over is told once it is known to be carried out, or never to be;
// a vote that nothing is known of is not over.
type TimedVote struct {
	policy.Vote
	WriteBefore time.Time
	Resolved    func(wrote bool)
}

// CastBefore writes a dated vote.
func (l *RolloutClient) CastBefore(v TimedVote) { l.box.Put(v) }

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
		c, err := Dial(ctx, dialer, address, nil)
		if err != nil {
			return nil, err
		}
		before, _ := ctx.Value(beforeKey{}).(time.Time)
		return dated{c, before}, nil
	}}}
}

// dated casts one, and tells the news that its answer brings.
func (l *RolloutClient) dated(ctx context.Context, base string, v TimedVote) {
	ctx, stop := context.WithTimeout(context.WithValue(ctx, beforeKey{}, v.WriteBefore), l.patient)
	defer stop()
	start, since := time.Now(), l.asOf()
	how, s := l.castBy(ctx, l.once, base, v.Vote)
	slog.Info("vote", "build", v.Build, "stage", v.Stage, "verdict", VerdictNames[v.Verdict], "ending", how.String(),
		"ms", time.Since(start).Milliseconds())
	if how == Succeeded {
		if s = l.answered(s, since); l.also != nil {
			l.also(s)
		}
	}
	switch how {
	case Succeeded, NotRun, Stale, ConnectionRefused, ConnectTimeout, NotSent: // all else may yet be carried out
		v.Resolved(how != NotSent)
	}
}
