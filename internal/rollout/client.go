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
	loop    *agent.Loop
	apiURL    string
	voteTimeout time.Duration // for the answer to a vote
	mailbox     *mailbox.Mailbox[any]
	httpClient  *http.Client
	timedClient    *http.Client               // for votes that have a time after which they must not be written
	observer    func(policy.RolloutUpdate) // hears the news, too; nil: nobody
	current     *stream                    // the one that is believed
	pending    *stream                    // the one that is to take its place
	backoff   *backoff.Backoff

	mu     sync.Mutex
	updateCount   int                  // how often where things stand has been told
	latestUpdate policy.RolloutUpdate // as it was told last
}

// stream is one connection that brings news.
type stream struct {
	cancel  context.CancelFunc
	apiURL  string
	lastLineAt  time.Time // the last
	hasReceived bool      // it has brought something
}

type (
	lineReceived struct {
		from *stream
		update *policy.RolloutUpdate // nil: a sign of life
	}
	streamEnded struct {
		from *stream
		err  error
	}
	silenceCheckDue  struct{} // at the time
	addressChanged struct{ apiURL string }
)

func NewClient(loop *agent.Loop, address string, dialTimeout, voteTimeout time.Duration, seed int64) *Client {
	return &Client{
		loop: loop, apiURL: apiURL(address), voteTimeout: voteTimeout, mailbox: mailbox.New[any](),
		httpClient: streamclient.NewHTTPClient(dialTimeout, loop.UnreadInput()), timedClient: newTimedHTTPClient(dialTimeout), backoff: backoff.New(0, ^seed),
	}
}

// Observe names who else hears the news. It is to be called before Known and Serve.
func (l *Client) Observe(hear func(policy.RolloutUpdate)) { l.observer = hear }

// publish gives news to the module, and to who else hears it.
func (l *Client) publish(s policy.RolloutUpdate) {
	l.mu.Lock()
	l.updateCount, l.latestUpdate = l.updateCount+1, s
	l.loop.UpdateRollout(s)
	l.mu.Unlock()
	if l.observer != nil {
		l.observer(s)
	}
}

// publishedCount is how often where things stand has been told by now.
func (l *Client) publishedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.updateCount
}

// publishReply gives a vote's answer to the module. Where things stand comes in answers and by the stream, on ways of their own: an answer
// that was written before the launcher sent a build back may be read after its news, and would put the build on trial again. What was
// told since the call began stands, then; the stream tells whatever is newer than that.
func (l *Client) publishReply(s policy.RolloutUpdate, countAtStart int) policy.RolloutUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Outcome == policy.OK {
		if l.updateCount > countAtStart {
			latest := l.latestUpdate
			latest.IsVoteReply, latest.Outcome = s.IsVoteReply, s.Outcome
			s = latest
		}
		l.updateCount, l.latestUpdate = l.updateCount+1, s
	}
	l.loop.UpdateRollout(s)
	return s
}

func apiURL(address string) string { return "http://" + address + "/api/" }

// Move goes to another address. The old stream is read until the new one has brought where things stand.
func (l *Client) Move(address string) { l.mailbox.Put(addressChanged{apiURL(address)}) }

// Known takes the news that the agent was started with.
func (l *Client) Known(raw json.RawMessage) error {
	if len(raw) == 0 {
		return nil
	}
	s, err := protocol.ReadRolloutJSON(raw)
	if err != nil {
		return fmt.Errorf("setting config.platform.news: %w", err)
	}
	l.publish(s)
	return nil
}

func (l *Client) Vote(v policy.Vote) { l.mailbox.Put(v) }

const (
	// heartbeatInterval is the protocol's interval of signs of life on the stream.
	heartbeatInterval = time.Second
	// maxMissedHeartbeats without a line are a silent stream, which is opened anew.
	maxMissedHeartbeats = 3
)

// Serve empties the mailbox until the end.
func (l *Client) Serve(ctx context.Context) {
	l.loop.AddReader(func(n agent.Barrier) { l.mailbox.Put(n) })
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	l.current = l.openStream(ctx, 0)
	for {
		var notes []any
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			notes = []any{silenceCheckDue{}}
		case <-l.mailbox.Ready():
			notes = l.mailbox.Take(nil)
		}
		for _, n := range notes {
			l.handle(ctx, n)
		}
	}
}

func (l *Client) handle(ctx context.Context, n any) {
	switch n := n.(type) {
	case policy.Vote:
		go l.castAndPublish(ctx, l.apiURL, n)
	case TimedVote:
		go l.castTimed(ctx, l.apiURL, n)
	case agent.Barrier:
		close(n.Done)
	case addressChanged:
		if l.apiURL = n.apiURL; l.pending != nil {
			l.pending.cancel()
		}
		l.pending = l.openStream(ctx, 0)
	case lineReceived:
		n.from.lastLineAt, n.from.hasReceived = time.Now(), true
		if n.from == l.pending && n.update != nil { // it has brought where things stand: nothing is lost between
			l.current.cancel()
			l.current, l.pending = l.pending, nil
		}
		if s := n.update; s != nil && n.from == l.current {
			slog.Info("news", "build", s.Build, "stage", s.Stage, "phase", s.Phase, "cap", s.Cap, "age_ms", s.Age/1000)
			l.publish(*s)
		}
	case streamEnded:
		switch n.from {
		case l.pending:
			if l.pending = nil; l.current.apiURL != l.apiURL { // the old one is about to end
				l.pending = l.openStream(ctx, l.backoff.Next(streamclient.BackoffReason(n.err)))
			}
		case l.current:
			if n.from.hasReceived {
				l.backoff.Reset()
			}
			ratelog.Warn("news", "news stream ended", "err", n.err)
			if l.current, l.pending = l.pending, nil; l.current == nil {
				l.current = l.openStream(ctx, l.backoff.Next(streamclient.BackoffReason(n.err)))
			}
		}
	case silenceCheckDue:
		if time.Since(l.current.lastLineAt) < maxMissedHeartbeats*heartbeatInterval {
			return
		}
		// Silent: the new one is opened before the old is closed, as what is told in between is not told again.
		if l.pending == nil {
			l.pending = l.openStream(ctx, 0)
		} else if time.Since(l.pending.lastLineAt) >= maxMissedHeartbeats*heartbeatInterval {
			l.pending.cancel()
			l.pending = l.openStream(ctx, 0)
		}
	}
}

// openStream starts a stream, after a pause where one failed.
func (l *Client) openStream(ctx context.Context, pause backoff.Micros) *stream {
	ctx, stop := context.WithCancel(ctx)
	s := &stream{cancel: stop, apiURL: l.apiURL, lastLineAt: time.Now()}
	go func() {
		if pause > 0 {
			streamclient.Sleep(ctx, pause)
		}
		l.mailbox.Put(streamEnded{s, l.readStream(ctx, s)})
	}()
	return s
}

func (l *Client) readStream(ctx context.Context, s *stream) error {
	defer s.cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.apiURL+"bulletin", nil)
	if err != nil {
		return err
	}
	res, err := l.httpClient.Do(req)
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
			l.mailbox.Put(lineReceived{s, &news})
			kind, data = "", ""
		case sc.Text() == "":
			if data != "" {
				ratelog.Warn("news kind", "news of a kind not known here", "kind", fmt.Sprintf("%.40q", kind))
			}
			kind, data = "", ""
		case field == "":
			l.mailbox.Put(lineReceived{from: s})
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
