package rollout

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/backoff"
	"switchfork/internal/mailbox"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
	"switchfork/internal/streamclient"
)

// Client is its actor.
type Client struct {
	core    *agent.Loop
	base    string
	patient time.Duration // for the answer to a vote
	box     *mailbox.Mailbox[any]
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

func NewClient(core *agent.Loop, address string, dial, patient time.Duration, seed int64) *Client {
	return &Client{
		core: core, base: at(address), patient: patient, box: mailbox.New[any](),
		client: streamclient.NewHTTPClient(dial, core.UnreadInput()), once: onceClient(dial), again: backoff.New(0, ^seed),
	}
}

// Observe names who else hears the news. It is to be called before Known and Serve.
func (l *Client) Observe(hear func(policy.RolloutUpdate)) { l.also = hear }

// tell gives news to the module, and to who else hears it.
func (l *Client) tell(s policy.RolloutUpdate) {
	l.mu.Lock()
	l.told, l.latest = l.told+1, s
	l.core.UpdateRollout(s)
	l.mu.Unlock()
	if l.also != nil {
		l.also(s)
	}
}

// asOf is how often where things stand has been told by now.
func (l *Client) asOf() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told
}

// answered gives a vote's answer to the module. Where things stand comes in answers and by the stream, on ways of their own: an answer
// that was written before the launcher sent a build back may be read after its news, and would put the build on trial again. What was
// told since the call began stands, then; the stream tells whatever is newer than that.
func (l *Client) answered(s policy.RolloutUpdate, since int) policy.RolloutUpdate {
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
func (l *Client) Move(address string) { l.box.Put(moved{at(address)}) }

// Known takes the news that the agent was started with.
func (l *Client) Known(raw json.RawMessage) error {
	if len(raw) == 0 {
		return nil
	}
	s, err := protocol.ReadRolloutJSON(raw)
	if err != nil {
		return fmt.Errorf("setting config.platform.news: %w", err)
	}
	l.tell(s)
	return nil
}

func (l *Client) Vote(v policy.Vote) { l.box.Put(v) }

const (
	// newsSign is the protocol's interval of signs of life on the stream.
	newsSign = time.Second
	// missedSigns without a line are a silent stream, which is opened anew.
	missedSigns = 3
)

// Serve empties the mailbox until the end.
func (l *Client) Serve(ctx context.Context) {
	l.core.AddReader(func(n agent.Barrier) { l.box.Put(n) })
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

func (l *Client) note(ctx context.Context, n any) {
	switch n := n.(type) {
	case policy.Vote:
		go l.call(ctx, l.base, n)
	case TimedVote:
		go l.dated(ctx, l.base, n)
	case agent.Barrier:
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
				l.next = l.open(ctx, l.again.Next(streamclient.BackoffReason(n.err)))
			}
		case l.now:
			if n.from.spoke {
				l.again.Reset()
			}
			ratelog.Warn("news", "news stream ended", "err", n.err)
			if l.now, l.next = l.next, nil; l.now == nil {
				l.now = l.open(ctx, l.again.Next(streamclient.BackoffReason(n.err)))
			}
		}
	case look:
		if time.Since(l.now.line) < missedSigns*newsSign {
			return
		}
		// Silent: the new one is opened before the old is closed, as what is told in between is not told again.
		if l.next == nil {
			l.next = l.open(ctx, 0)
		} else if time.Since(l.next.line) >= missedSigns*newsSign {
			l.next.stop()
			l.next = l.open(ctx, 0)
		}
	}
}

// open starts a stream, after a pause where one failed.
func (l *Client) open(ctx context.Context, pause backoff.Micros) *stream {
	ctx, stop := context.WithCancel(ctx)
	s := &stream{stop: stop, base: l.base, line: time.Now()}
	go func() {
		if pause > 0 {
			streamclient.Sleep(ctx, pause)
		}
		l.box.Put(streamEnd{s, l.follow(ctx, s)})
	}()
	return s
}

func (l *Client) follow(ctx context.Context, s *stream) error {
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
		return streamclient.StatusError(res.StatusCode)
	}
	// An event counts with the empty line that ends it: one that is cut off may read as another. What can't be read
	// makes the connection useless, and a new one brings where things stand at once.
	sc, kind, data := bufio.NewScanner(res.Body), "", ""
	for sc.Scan() {
		field, value, _ := strings.Cut(sc.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case sc.Text() == "" && kind == "ROLLOUT":
			news, err := protocol.ReadRolloutForm(data)
			if err != nil {
				return fmt.Errorf("news that can't be read: %w", err)
			}
			l.box.Put(lineIn{s, &news})
			kind, data = "", ""
		case sc.Text() == "":
			if data != "" {
				ratelog.Warn("news kind", "news of a kind not known here", "kind", fmt.Sprintf("%.40q", kind))
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
