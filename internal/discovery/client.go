package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
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

// Client is the list's actor: notes in its mailbox come from its followers, and from Move.
type Client struct {
	loop    *agent.Loop
	zones   []string
	httpClient  *http.Client
	pollWithin  time.Duration // the told time in which to ask; 0: none
	agentCount  int
	seed    int64
	numberOfHost map[string]uint32 // by host
	hostOfNumber   map[uint32]string
	mailbox     *mailbox.Mailbox[any]
	version     uint64    // of what is in force
	current     *watcher // the one that is believed
	pending    *watcher // at the address that is to take its place; nil where none is
}

// watcher keeps a watch at one address, reopened with the last version whenever it ends.
type watcher struct {
	client *Client
	listURL   string
	version    uint64
	needsFullList  bool // the next line has to be the whole list
	backoff  *backoff.Backoff
	retired   bool // its address has been left: not opened again
	mu     sync.Mutex
	cancel   context.CancelFunc
	unpublished   protocol.List // what it has brought and is not believed yet; Serve's
}

// lineOf is a list that a follower has read, or a sign of life: for now there is nothing newer there.
type lineOf struct {
	from *watcher
	protocol.List
	sign bool
}

// NewClient follows the list at an address. within is the told time in which an agent without a watch should ask, 0 where
// none is told; agents is how many do so.
func NewClient(loop *agent.Loop, address string, zones []string, dial, within time.Duration, agents int, seed int64) *Client {
	r := &Client{
		loop: loop, zones: zones, pollWithin: within, agentCount: agents, seed: seed, httpClient: streamclient.NewHTTPClient(dial, loop.UnreadInput()), numberOfHost: map[string]uint32{}, hostOfNumber: map[uint32]string{},
		mailbox: mailbox.New[any](),
	}
	r.current = r.newWatcher(address)
	return r
}

func (r *Client) newWatcher(address string) *watcher {
	return &watcher{
		client: r, listURL: "http://" + address + "/catalog/members", cancel: func() {},
		backoff: backoff.New(r.pollWithin.Microseconds(), r.seed),
	}
}

// Move goes to another address. The watch at the old one goes on until the new one has brought the whole list, so that
// no change is lost between; it is not opened again. The new one may be behind: the old one has told a drain when the new one's
// whole list of a moment before is read, and would take it back. That list is held until its watch has brought it as far, or a sign
// of life says that nothing newer is there, as with other numbers at another discovery; that is a sign's time at most.
func (r *Client) Move(address string) { r.mailbox.Put(address) }

// Serve empties the mailbox until the end.
func (r *Client) Serve(ctx context.Context) {
	r.loop.AddReader(func(n agent.Barrier) { r.mailbox.Put(n) })
	r.current.start(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.mailbox.Ready():
		}
		for _, n := range r.mailbox.Take(nil) {
			switch n := n.(type) {
			case lineOf:
				switch {
				case n.from == r.pending:
					if !n.sign {
						n.from.unpublished = n.from.unpublished.Merge(n.List)
					}
					if n.sign || n.from.unpublished.Seq >= r.version {
						r.current.cancel()
						r.current, r.pending = r.pending, nil
						r.publish(r.current.unpublished)
						r.current.unpublished = protocol.List{}
					}
				case n.from == r.current && !n.sign:
					r.publish(n.List)
				}
			case agent.Barrier:
				close(n.Done)
			case string:
				r.current.retire()
				if r.pending != nil {
					r.pending.cancel()
				}
				r.pending = r.newWatcher(n)
				r.pending.needsFullList = true
				r.pending.start(ctx)
			}
		}
	}
}

func (w *watcher) start(ctx context.Context) {
	ctx, w.cancel = context.WithCancel(ctx)
	go w.run(ctx)
}

func (w *watcher) retire() {
	w.mu.Lock()
	w.retired = true
	w.mu.Unlock()
}

func (w *watcher) isRetired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.retired
}

// Known takes the list that the agent was started with.
func (r *Client) Known(raw json.RawMessage) error {
	if len(raw) == 0 {
		r.current.needsFullList = true
		return nil
	}
	known, err := protocol.ReadList(raw)
	if err != nil {
		return fmt.Errorf("setting config.known: %w", err)
	}
	known.Whole = true
	r.current.version = known.Seq
	r.publish(known)
	return nil
}

// number is alike on every agent and after a restart: a hash of the host. Should two hosts share one, the second
// in a list, which is read in the hosts' order, gets the hash of a longer name.
func (r *Client) number(host string) uint32 {
	if n, known := r.numberOfHost[host]; known {
		return n
	}
	for name := host; ; name += "'" {
		n := protocol.EndpointID(name)
		if _, taken := r.hostOfNumber[n]; !taken {
			r.numberOfHost[host], r.hostOfNumber[n] = n, host
			return n
		}
	}
}

// publish hands a list's rows on.
func (r *Client) publish(l protocol.List) {
	r.version = l.Seq
	slices.SortStableFunc(l.Hosts, func(a, b protocol.ListEntry) int { return strings.Compare(a.Host, b.Host) })
	out := agent.EndpointList{EndpointUpdate: policy.EndpointUpdate{Full: l.Whole}}
	for _, e := range l.Hosts {
		row, err := e.Endpoint(r.zones)
		if err != nil {
			ratelog.Warn("row", "list entry left out", "why", err)
			continue
		}
		row.ID = r.number(e.Host)
		out.Endpoints, out.Entries = append(out.Endpoints, row), append(out.Entries, e)
	}
	if len(out.Endpoints) > 0 || l.Whole {
		r.loop.UpdateEndpoints(out)
	}
	// A host that is gone gives its number back; it is the same when it returns, but for two hosts that share one.
	there := map[string]bool{}
	for i, row := range out.Endpoints {
		if there[out.Entries[i].Host] = row.State != policy.Gone; row.State == policy.Gone {
			r.release(out.Entries[i].Host)
		}
	}
	if l.Whole {
		for host := range r.numberOfHost {
			if !there[host] {
				r.release(host)
			}
		}
	}
}

func (r *Client) release(host string) {
	delete(r.hostOfNumber, r.numberOfHost[host])
	delete(r.numberOfHost, host)
}

const (
	heartbeatInterval = 2 * time.Second
	// A watch is opened anew when three of its signs are due. What a silent one misses may count as told by then, without time for a
	// pause, a connection and a reading. With two signs a discovery that is merely slow, by 3 s, was cut off in the middle of its word (the
	// night discovery-slow): a second watch has to be opened beside the first, which is not done yet.
	heartbeatTimeout = 3 * heartbeatInterval
)

func (w *watcher) run(ctx context.Context) {
	if w.version > 0 || !w.needsFullList { // what was told at the start will do for a moment
		streamclient.Sleep(ctx, w.backoff.Initial(w.client.agentCount))
	}
	for ctx.Err() == nil && !w.isRetired() {
		start := time.Now()
		if w.needsFullList {
			if err := w.fetch(ctx); err != nil {
				ratelog.Warn("list", "list not fetched", "err", err, "after_ms", time.Since(start).Milliseconds())
				streamclient.Sleep(ctx, w.backoff.Next(streamclient.BackoffReason(err)))
				continue
			}
		}
		lines, err := w.watch(ctx)
		if lines > 0 {
			w.backoff.Reset()
		}
		if ctx.Err() == nil {
			ratelog.Warn("watch", "watch ended", "err", err, "seq", w.version, "after_ms", time.Since(start).Milliseconds())
			streamclient.Sleep(ctx, w.backoff.Next(streamclient.BackoffReason(err)))
		}
	}
}

// deliver takes a line on.
func (w *watcher) deliver(l protocol.List) {
	w.version, w.needsFullList = l.Seq, false
	w.client.mailbox.Put(lineOf{from: w, List: l})
}

// fetch takes the whole list, after a line that could not be read.
func (w *watcher) fetch(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, heartbeatTimeout)
	defer stop()
	err := w.readLists(ctx, w.listURL, func(list []byte) error {
		if len(list) == 0 {
			return nil
		}
		l, err := protocol.ReadList(list)
		if err == nil && !l.Whole {
			err = fmt.Errorf("asked for the whole list, got changes")
		}
		if err == nil {
			w.deliver(l)
		}
		return err
	})
	if err == nil && w.needsFullList {
		err = fmt.Errorf("asked for the whole list, got none")
	}
	return err
}

func (w *watcher) watch(ctx context.Context) (lines int, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	quiet := time.AfterFunc(heartbeatTimeout, stop)
	defer quiet.Stop()
	err = w.readLists(ctx, fmt.Sprintf("%s?stream=1&index=%d", w.listURL, w.version), func(list []byte) error {
		quiet.Reset(heartbeatTimeout)
		if lines++; len(list) == 0 {
			w.client.mailbox.Put(lineOf{from: w, sign: true})
			return nil
		}
		l, err := protocol.ReadList(list)
		if err != nil {
			w.needsFullList = true
			return fmt.Errorf("unreadable list: %w", err)
		}
		if l.Seq <= w.version && !(l.Whole && lines == 1) {
			return nil // heard before; a new watch may start with a whole list of whatever version
		}
		slog.Info("list", "seq", l.Seq, "whole", l.Whole, "entries", len(l.Hosts))
		w.deliver(l)
		return nil
	})
	return lines, err
}

// maxListSize holds the whole list of a large fleet, in one line or in many.
const maxListSize = 4 << 20

// readLists hands each list of an answer on until it ends, and each sign of life as an empty one.
func (w *watcher) readLists(ctx context.Context, url string, each func([]byte) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	w.client.loop.CountListCall()
	res, err := w.client.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return streamclient.StatusError(res.StatusCode)
	}
	sc := bufio.NewScanner(res.Body)
	sc.Buffer(make([]byte, 0, 16<<10), maxListSize)
	var m protocol.ListReader
	for sc.Scan() {
		line := bytes.TrimSpace(sc.Bytes())
		list, err := m.Add(line, maxListSize)
		switch {
		case err != nil:
			w.needsFullList = true
			return err
		case list == nil && len(line) > 0:
			continue
		}
		if err := each(list); err != nil {
			return err
		}
	}
	if err = sc.Err(); err == nil {
		err = m.End()
	}
	return err
}
