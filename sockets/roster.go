package sockets

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"switchfork/brain"
)

// This file owns the list: the watch at discovery, the numbers of appliances, and which line is news. It must
// never judge an appliance, and never take a row back to an older state.

// Roster is the list's actor.
type Roster struct {
	core    *Core
	base    string
	zones   []string
	client  *http.Client
	numbers map[string]uint32 // by host
	taken   map[uint32]string
	seq     uint64
	whole   bool // the next line has to be the whole list
}

func NewRoster(core *Core, address string, zones []string, dial time.Duration) *Roster {
	return &Roster{core: core, base: "http://" + address + "/catalog/members", zones: zones,
		client: streamClient(dial), numbers: map[string]uint32{}, taken: map[uint32]string{}}
}

// streamClient is for answers that remain open.
func streamClient(dial time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dial}).DialContext,
		DisableKeepAlives: true, DisableCompression: true}}
}

// Known takes the list that the agent was started with.
func (r *Roster) Known(raw json.RawMessage) error {
	if len(raw) == 0 {
		r.whole = true
		return nil
	}
	known, err := readRoll(raw)
	if err != nil {
		return fmt.Errorf("setting config.known: %w", err)
	}
	known.Whole = true
	r.tell(known)
	return nil
}

// number is alike on every agent and after a restart: a hash of the host. Should two hosts share one, the second
// in a list, which is read in the hosts' order, gets the hash of a longer name.
func (r *Roster) number(host string) uint32 {
	if n, known := r.numbers[host]; known {
		return n
	}
	for name := host; ; name += "'" {
		h := hash64(name)
		n := uint32(h ^ h>>32)
		if _, taken := r.taken[n]; !taken {
			r.numbers[host], r.taken[n] = n, host
			return n
		}
	}
}

// tell hands a line's rows on.
func (r *Roster) tell(l roll) {
	slices.SortStableFunc(l.Hosts, func(a, b entry) int { return strings.Compare(a.Host, b.Host) })
	out := listing{Listed: brain.Listed{Full: l.Whole}}
	for _, e := range l.Hosts {
		row, err := e.row(r.zones)
		if err != nil {
			complaints.warn("row", "list entry left out", "why", err)
			continue
		}
		row.ID = r.number(e.Host)
		out.Rows, out.hosts = append(out.Rows, row), append(out.hosts, e)
	}
	r.seq, r.whole = l.Seq, false
	if len(out.Rows) > 0 || l.Whole {
		r.core.urgent.put(out)
	}
}

const (
	// signsMissed: the list and the launcher's news are followed anew after so long without a line, three of the
	// protocol's signs of life.
	signsMissed = 3
	watchSign   = 2 * time.Second
	// againSoon doubles up to againMost, with a random part: all agents find a party back at once.
	againSoon, againMost = 50 * time.Millisecond, 800 * time.Millisecond
)

// pause waits before the next try after some in a row that brought nothing.
func pause(ctx context.Context, fails int) {
	wait := min(againMost, againSoon<<min(fails, 8))
	select {
	case <-ctx.Done():
	case <-time.After(wait/2 + time.Duration(rand.Int63n(int64(wait)))):
	}
}

// Serve keeps the watch, reopened with the last version whenever it ends.
func (r *Roster) Serve(ctx context.Context) {
	for fails := 0; ctx.Err() == nil; fails++ {
		if r.whole {
			if err := r.fetch(ctx); err != nil {
				complaints.warn("list", "list not fetched", "err", err)
				pause(ctx, fails)
				continue
			}
		}
		lines, err := r.watch(ctx)
		if lines > 0 {
			fails = 0
		}
		if ctx.Err() == nil {
			complaints.warn("watch", "watch ended", "err", err, "seq", r.seq)
			pause(ctx, fails)
		}
	}
}

// fetch takes the whole list, after a line that could not be read.
func (r *Roster) fetch(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, signsMissed*watchSign)
	defer stop()
	return r.follow(ctx, r.base, func(line []byte) error {
		l, err := readRoll(line)
		if err == nil && !l.Whole {
			err = fmt.Errorf("asked for the whole list, got changes")
		}
		if err == nil {
			r.tell(l)
		}
		return err
	})
}

func (r *Roster) watch(ctx context.Context) (lines int, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	quiet := time.AfterFunc(signsMissed*watchSign, stop)
	defer quiet.Stop()
	err = r.follow(ctx, fmt.Sprintf("%s?stream=1&index=%d", r.base, r.seq), func(line []byte) error {
		quiet.Reset(signsMissed * watchSign)
		if lines++; len(line) == 0 {
			return nil
		}
		l, err := readRoll(line)
		if err != nil {
			r.whole = true
			return fmt.Errorf("unreadable line: %w", err)
		}
		if l.Seq <= r.seq && !(l.Whole && lines == 1) {
			return nil // heard before; a new watch may start with a whole list of whatever version
		}
		slog.Info("list", "seq", l.Seq, "whole", l.Whole, "entries", len(l.Hosts))
		r.tell(l)
		return nil
	})
	return lines, err
}

// lineLimit holds the whole list of a large fleet.
const lineLimit = 4 << 20

// follow hands each line of an answer on until it ends.
func (r *Roster) follow(ctx context.Context, url string, each func([]byte) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	sc := bufio.NewScanner(res.Body)
	sc.Buffer(make([]byte, 0, 16<<10), lineLimit)
	for sc.Scan() {
		if err := each(sc.Bytes()); err != nil {
			return err
		}
	}
	return sc.Err()
}
