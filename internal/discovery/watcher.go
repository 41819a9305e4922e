package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"switchfork/internal/backoff"
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
	"switchfork/internal/streamclient"
)

const (
	// heartbeatInterval is the protocol's interval of heartbeats on a watch.
	heartbeatInterval = 2 * time.Second
	// silenceTimeout is after how long without a line a watch is reported as silent, so that another one is opened beside it. What a silent
	// watch misses counts as known after three heartbeats, which leaves one for the pause, the connection and the list.
	silenceTimeout = 2 * heartbeatInterval
	// heartbeatTimeout ends a watch. It is longer than a discovery takes that is merely slow: a watch that was ended after silenceTimeout
	// was cut off in the middle of a list that came 3 s late (fault scenario discovery-slow).
	heartbeatTimeout = 3 * heartbeatInterval
	// maxListSize has room for the whole list of a large fleet, on one line or over many.
	maxListSize = 4 << 20
	// initialBufferSize is enough for most lists of changes.
	initialBufferSize = 16 << 10
)

var (
	errNotFullList = errors.New("asked for the whole list, got changes")
	errNoList      = errors.New("asked for the whole list, got none")
)

// watchConfig is what the watchers of a client have in common.
type watchConfig struct {
	httpClient *http.Client
	countCall  func()        // called before each call to discovery
	report     func(message) // takes what a watcher receives
	pollWithin time.Duration // 0: not configured
	agentCount int
	seed       int64
}

// watcher keeps a watch open at one address. Whenever the watch ends, it is opened again from the last version that was received, until the
// watcher is retired.
type watcher struct {
	watchConfig
	listURL       string
	version       uint64 // of the last list received
	needsFullList bool   // the whole list has to be fetched before the next watch
	startDelay    backoff.Micros
	backoff       *backoff.Backoff
	cancel        context.CancelFunc

	mu      sync.Mutex
	retired bool // another watcher is to take its place: a watch that ends is not opened again
}

func newWatcher(config watchConfig, address string) *watcher {
	return &watcher{
		watchConfig: config,
		listURL:     "http://" + address + "/catalog/members",
		backoff:     backoff.New(config.pollWithin.Microseconds(), config.seed),
		cancel:      func() {},
	}
}

// delayAsOneOfAll sets the first call's delay by the number of agents that start together. An agent without any list calls at once.
func (w *watcher) delayAsOneOfAll() {
	if w.version > 0 || !w.needsFullList {
		w.startDelay = w.backoff.Initial(w.agentCount)
	}
}

// start runs the watcher in a goroutine until cancel is called or the context ends.
func (w *watcher) start(ctx context.Context) {
	ctx, w.cancel = context.WithCancel(ctx)
	go w.run(ctx)
}

// retire lets the open watch go on, but has no other opened after it.
func (w *watcher) retire() { w.setRetired(true) }

// resume has a retired watcher open its watch again once it ends. Where it has ended already, watcherEnded has been reported.
func (w *watcher) resume() { w.setRetired(false) }

func (w *watcher) setRetired(retired bool) {
	w.mu.Lock()
	w.retired = retired
	w.mu.Unlock()
}

func (w *watcher) isRetired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.retired
}

func (w *watcher) run(ctx context.Context) {
	defer func() {
		if ctx.Err() == nil {
			w.report(watcherEnded{from: w})
		}
	}()
	streamclient.Sleep(ctx, w.startDelay)
	for ctx.Err() == nil && !w.isRetired() {
		start := time.Now()
		if w.needsFullList {
			if err := w.fetch(ctx); err != nil {
				ratelog.Warn("list", "endpoint list fetch failed", "err", err, "elapsed_ms", time.Since(start).Milliseconds())
				w.waitBeforeRetry(ctx, err)
				continue
			}
		}
		received, err := w.watch(ctx)
		if received > 0 {
			w.backoff.Reset()
		}
		if ctx.Err() == nil {
			ratelog.Warn("watch", "endpoint list watch ended", "err", err, "version", w.version, "elapsed_ms", time.Since(start).Milliseconds())
			w.waitBeforeRetry(ctx, err)
		}
	}
}

func (w *watcher) waitBeforeRetry(ctx context.Context, err error) {
	streamclient.Sleep(ctx, w.backoff.Next(streamclient.BackoffReason(err)))
}

// deliver records a list's version and reports the list to the client.
func (w *watcher) deliver(list protocol.List) {
	w.version, w.needsFullList = list.Seq, false
	w.report(listReceived{from: w, list: list})
}

// fetch asks for the whole list, once.
func (w *watcher) fetch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	err := w.readLists(ctx, w.listURL, func(raw []byte) error {
		if len(raw) == 0 {
			return nil
		}
		list, err := protocol.ReadList(raw)
		if err != nil {
			return err
		}
		if !list.Whole {
			return errNotFullList
		}
		w.deliver(list)
		return nil
	})
	if err == nil && w.needsFullList {
		return errNoList
	}
	return err
}

// watch delivers the changes after the last version until the stream ends or has been silent for too long. It returns how many lists and
// heartbeats have been received.
func (w *watcher) watch(ctx context.Context) (received int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceTimeout, func() { w.report(watchSilent{from: w}) })
	defer silence.Stop()
	timeout := time.AfterFunc(heartbeatTimeout, cancel)
	defer timeout.Stop()
	url := fmt.Sprintf("%s?stream=1&index=%d", w.listURL, w.version)
	err = w.readLists(ctx, url, func(raw []byte) error {
		silence.Reset(silenceTimeout)
		timeout.Reset(heartbeatTimeout)
		received++
		return w.handleWatched(raw, received == 1)
	})
	return received, err
}

// handleWatched delivers a list of a watch, or reports a heartbeat. isFirst tells whether it is the first of its watch.
func (w *watcher) handleWatched(raw []byte, isFirst bool) error {
	if len(raw) == 0 {
		w.report(heartbeatReceived{from: w})
		return nil
	}
	list, err := protocol.ReadList(raw)
	if err != nil {
		w.needsFullList = true
		return fmt.Errorf("unreadable list: %w", err)
	}
	// A watch may start with a whole list, which counts whatever its version is.
	startsAfresh := isFirst && list.Whole
	if list.Seq <= w.version && !startsAfresh {
		return nil
	}
	slog.Info("endpoint list received", "version", list.Seq, "full", list.Whole, "entries", len(list.Hosts))
	w.deliver(list)
	return nil
}

// readLists calls discovery and hands each list of the response to handle, and each heartbeat as an empty one, until the response ends or
// handle fails. After a list that is cut off or too long, the whole list is to be fetched.
func (w *watcher) readLists(ctx context.Context, url string, handle func(raw []byte) error) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	w.countCall()
	response, err := w.httpClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // only read from: closing it can lose nothing
	if response.StatusCode != http.StatusOK {
		return streamclient.StatusError(response.StatusCode)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, initialBufferSize), maxListSize)
	var reader protocol.ListReader
	for scanner.Scan() {
		line := bytes.TrimSpace(scanner.Bytes())
		list, err := reader.Add(line, maxListSize)
		if err != nil {
			w.needsFullList = true
			return err
		}
		if list == nil && len(line) > 0 {
			continue // more lines of this list are to come
		}
		if err := handle(list); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return reader.End()
}
