package discovery

import (
	"context"
	"net/http"
	"sync"
	"time"

	"switchfork/internal/backoff"
	"switchfork/internal/ratelog"
	"switchfork/internal/streamclient"
)

// listPath is the URL path at which discovery serves the endpoint list and its watch.
const listPath = "/catalog/members"

// watchConfig holds what all watchers of a Client have in common.
type watchConfig struct {
	httpClient *http.Client
	countCall  func()        // called before each call to discovery
	report     func(message) // passes a message to the Client that owns the watcher
	pollWithin time.Duration // see Config.PollWithin
	agentCount int
	seed       int64
}

// watcher keeps a watch open at one address of discovery. When the watch ends, the watcher opens it again from the last received version,
// unless the watcher is retired.
type watcher struct {
	watchConfig
	listURL       string
	version       uint64         // version of the last received list
	needsFullList bool           // the full list has to be fetched before the next watch
	startDelay    backoff.Micros // delay before the first call
	backoff       *backoff.Backoff
	cancel        context.CancelFunc

	mu      sync.Mutex
	retired bool // the watch is not opened again when it ends, because another watcher is expected to replace this one
}

func newWatcher(config watchConfig, address string) *watcher {
	return &watcher{
		watchConfig: config,
		listURL:     "http://" + address + listPath,
		backoff:     backoff.New(config.pollWithin.Microseconds(), config.seed),
		cancel:      func() {},
	}
}

// setStartDelay sets the delay before the first call, which depends on the number of agents that start at the same time. An agent that has
// no list calls at once.
func (w *watcher) setStartDelay() {
	if w.version > 0 || !w.needsFullList {
		w.startDelay = w.backoff.Initial(w.agentCount)
	}
}

// start runs the watcher in a goroutine until cancel is called or the context ends.
func (w *watcher) start(ctx context.Context) {
	ctx, w.cancel = context.WithCancel(ctx)
	go w.run(ctx)
}

// retire makes the watcher end when its open watch ends.
func (w *watcher) retire() { w.setRetired(true) }

// resume makes a retired watcher open its watch again when the watch ends. If the watcher has already ended, it has reported watcherEnded.
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
				ratelog.Warn("list fetch", "endpoint list fetch failed", "err", err, "elapsed_ms", time.Since(start).Milliseconds())
				w.waitBeforeRetry(ctx, err)
				continue
			}
		}
		received, err := w.watch(ctx)
		if received > 0 {
			w.backoff.Reset()
		}
		if ctx.Err() == nil {
			ratelog.Warn("list watch", "endpoint list watch ended", "err", err, "version", w.version, "elapsed_ms", time.Since(start).Milliseconds())
			w.waitBeforeRetry(ctx, err)
		}
	}
}

func (w *watcher) waitBeforeRetry(ctx context.Context, err error) {
	streamclient.Sleep(ctx, w.backoff.Next(streamclient.BackoffReason(err)))
}
