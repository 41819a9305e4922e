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
	core    *agent.Loop
	zones   []string
	client  *http.Client
	within  time.Duration // the told time in which to ask; 0: none
	agents  int
	seed    int64
	numbers map[string]uint32 // by host
	taken   map[uint32]string
	box     *mailbox.Mailbox[any]
	seq     uint64    // of what is in force
	now     *follower // the one that is believed
	next    *follower // at the address that is to take its place; nil where none is
}

// follower keeps a watch at one address, reopened with the last version whenever it ends.
type follower struct {
	roster *Client
	base   string
	seq    uint64
	whole  bool // the next line has to be the whole list
	again  *backoff.Backoff
	once   bool // its address has been left: not opened again
	mu     sync.Mutex
	stop   context.CancelFunc
	held   protocol.List // what it has brought and is not believed yet; Serve's
}

// lineOf is a list that a follower has read, or a sign of life: for now there is nothing newer there.
type lineOf struct {
	from *follower
	protocol.List
	sign bool
}

// NewClient follows the list at an address. within is the told time in which an agent without a watch should ask, 0 where
// none is told; agents is how many do so.
func NewClient(core *agent.Loop, address string, zones []string, dial, within time.Duration, agents int, seed int64) *Client {
	r := &Client{
		core: core, zones: zones, within: within, agents: agents, seed: seed, client: streamclient.NewHTTPClient(dial, core.UnreadInput()), numbers: map[string]uint32{}, taken: map[uint32]string{},
		box: mailbox.New[any](),
	}
	r.now = r.at(address)
	return r
}

func (r *Client) at(address string) *follower {
	return &follower{
		roster: r, base: "http://" + address + "/catalog/members", stop: func() {},
		again: backoff.New(r.within.Microseconds(), r.seed),
	}
}

// Move goes to another address. The watch at the old one goes on until the new one has brought the whole list, so that
// no change is lost between; it is not opened again. The new one may be behind: the old one has told a drain when the new one's
// whole list of a moment before is read, and would take it back. That list is held until its watch has brought it as far, or a sign
// of life says that nothing newer is there, as with other numbers at another discovery; that is a sign's time at most.
func (r *Client) Move(address string) { r.box.Put(address) }

// Serve empties the mailbox until the end.
func (r *Client) Serve(ctx context.Context) {
	r.core.AddReader(func(n agent.Barrier) { r.box.Put(n) })
	r.now.start(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.box.Ready():
		}
		for _, n := range r.box.Take(nil) {
			switch n := n.(type) {
			case lineOf:
				switch {
				case n.from == r.next:
					if !n.sign {
						n.from.held = n.from.held.Merge(n.List)
					}
					if n.sign || n.from.held.Seq >= r.seq {
						r.now.stop()
						r.now, r.next = r.next, nil
						r.tell(r.now.held)
						r.now.held = protocol.List{}
					}
				case n.from == r.now && !n.sign:
					r.tell(n.List)
				}
			case agent.Barrier:
				close(n.Done)
			case string:
				r.now.leave()
				if r.next != nil {
					r.next.stop()
				}
				r.next = r.at(n)
				r.next.whole = true
				r.next.start(ctx)
			}
		}
	}
}

func (f *follower) start(ctx context.Context) {
	ctx, f.stop = context.WithCancel(ctx)
	go f.serve(ctx)
}

func (f *follower) leave() {
	f.mu.Lock()
	f.once = true
	f.mu.Unlock()
}

func (f *follower) left() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.once
}

// Known takes the list that the agent was started with.
func (r *Client) Known(raw json.RawMessage) error {
	if len(raw) == 0 {
		r.now.whole = true
		return nil
	}
	known, err := protocol.ReadList(raw)
	if err != nil {
		return fmt.Errorf("setting config.known: %w", err)
	}
	known.Whole = true
	r.now.seq = known.Seq
	r.tell(known)
	return nil
}

// number is alike on every agent and after a restart: a hash of the host. Should two hosts share one, the second
// in a list, which is read in the hosts' order, gets the hash of a longer name.
func (r *Client) number(host string) uint32 {
	if n, known := r.numbers[host]; known {
		return n
	}
	for name := host; ; name += "'" {
		n := protocol.EndpointID(name)
		if _, taken := r.taken[n]; !taken {
			r.numbers[host], r.taken[n] = n, host
			return n
		}
	}
}

// tell hands a list's rows on.
func (r *Client) tell(l protocol.List) {
	r.seq = l.Seq
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
		r.core.UpdateEndpoints(out)
	}
	// A host that is gone gives its number back; it is the same when it returns, but for two hosts that share one.
	there := map[string]bool{}
	for i, row := range out.Endpoints {
		if there[out.Entries[i].Host] = row.State != policy.Gone; row.State == policy.Gone {
			r.forget(out.Entries[i].Host)
		}
	}
	if l.Whole {
		for host := range r.numbers {
			if !there[host] {
				r.forget(host)
			}
		}
	}
}

func (r *Client) forget(host string) {
	delete(r.taken, r.numbers[host])
	delete(r.numbers, host)
}

const (
	watchSign = 2 * time.Second
	// A watch is opened anew when three of its signs are due. What a silent one misses may count as told by then, without time for a
	// pause, a connection and a reading. With two signs a discovery that is merely slow, by 3 s, was cut off in the middle of its word (the
	// night discovery-slow): a second watch has to be opened beside the first, which is not done yet.
	watchQuiet = 3 * watchSign
)

func (f *follower) serve(ctx context.Context) {
	if f.seq > 0 || !f.whole { // what was told at the start will do for a moment
		streamclient.Sleep(ctx, f.again.Initial(f.roster.agents))
	}
	for ctx.Err() == nil && !f.left() {
		start := time.Now()
		if f.whole {
			if err := f.fetch(ctx); err != nil {
				ratelog.Warn("list", "list not fetched", "err", err, "after_ms", time.Since(start).Milliseconds())
				streamclient.Sleep(ctx, f.again.Next(streamclient.BackoffReason(err)))
				continue
			}
		}
		lines, err := f.watch(ctx)
		if lines > 0 {
			f.again.Reset()
		}
		if ctx.Err() == nil {
			ratelog.Warn("watch", "watch ended", "err", err, "seq", f.seq, "after_ms", time.Since(start).Milliseconds())
			streamclient.Sleep(ctx, f.again.Next(streamclient.BackoffReason(err)))
		}
	}
}

// heard takes a line on.
func (f *follower) heard(l protocol.List) {
	f.seq, f.whole = l.Seq, false
	f.roster.box.Put(lineOf{from: f, List: l})
}

// fetch takes the whole list, after a line that could not be read.
func (f *follower) fetch(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, watchQuiet)
	defer stop()
	err := f.follow(ctx, f.base, func(list []byte) error {
		if len(list) == 0 {
			return nil
		}
		l, err := protocol.ReadList(list)
		if err == nil && !l.Whole {
			err = fmt.Errorf("asked for the whole list, got changes")
		}
		if err == nil {
			f.heard(l)
		}
		return err
	})
	if err == nil && f.whole {
		err = fmt.Errorf("asked for the whole list, got none")
	}
	return err
}

func (f *follower) watch(ctx context.Context) (lines int, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	quiet := time.AfterFunc(watchQuiet, stop)
	defer quiet.Stop()
	err = f.follow(ctx, fmt.Sprintf("%s?stream=1&index=%d", f.base, f.seq), func(list []byte) error {
		quiet.Reset(watchQuiet)
		if lines++; len(list) == 0 {
			f.roster.box.Put(lineOf{from: f, sign: true})
			return nil
		}
		l, err := protocol.ReadList(list)
		if err != nil {
			f.whole = true
			return fmt.Errorf("unreadable list: %w", err)
		}
		if l.Seq <= f.seq && !(l.Whole && lines == 1) {
			return nil // heard before; a new watch may start with a whole list of whatever version
		}
		slog.Info("list", "seq", l.Seq, "whole", l.Whole, "entries", len(l.Hosts))
		f.heard(l)
		return nil
	})
	return lines, err
}

// lineLimit holds the whole list of a large fleet, in one line or in many.
const lineLimit = 4 << 20

// follow hands each list of an answer on until it ends, and each sign of life as an empty one.
func (f *follower) follow(ctx context.Context, url string, each func([]byte) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	f.roster.core.CountListCall()
	res, err := f.roster.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return streamclient.StatusError(res.StatusCode)
	}
	sc := bufio.NewScanner(res.Body)
	sc.Buffer(make([]byte, 0, 16<<10), lineLimit)
	var m protocol.ListReader
	for sc.Scan() {
		line := bytes.TrimSpace(sc.Bytes())
		list, err := m.Add(line, lineLimit)
		switch {
		case err != nil:
			f.whole = true
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
