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

// listPath is where discovery serves the endpoint list and its watch.
const listPath = "/catalog/members"

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
	needsFullList bool   // the full list has to be fetched before the next watch
	startDelay    backoff.Micros
	backoff       *backoff.Backoff
	cancel        context.CancelFunc

	mu      sync.Mutex
	retired bool // another watcher is to take its place: a watch that ends is not opened again
}

func newWatcher(config watchConfig, address string) *watcher {
	return &watcher{
		watchConfig: config,
		listURL:     "http://" + address + listPath,
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
