package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/agent"
	"switchfork/internal/config"
	"switchfork/internal/connlimit"
	"switchfork/internal/discovery"
	"switchfork/internal/gossip"
	"switchfork/internal/options"
	"switchfork/internal/policy"
	"switchfork/internal/proxy"
	"switchfork/internal/rollout"
	"switchfork/internal/upstream"
)

// This file owns how an agent's parts are put together, its drain and its reload. It decides nothing about txns.

const (
	// heapPart of the told memory is the collector's limit; the rest is for stacks, buffers and the program.
	heapPart = 0.7
	// collectAt: live data is a few MB, so garbage may grow to several times it before it is worth the time.
	collectAt = 400
	// ownSockets: listener, peers, list, news and votes, the log and what the runtime holds, with room.
	ownSockets = 32
	// A drain has to be over when SIGKILL comes, by the protocol no sooner than killAfter after the longest expiry, which counts as
	// longestCounts where it is longer. drainSpare is left for the log and for an end that the system is slow to see.
	killAfter, longestCounts, drainSpare = 700 * time.Millisecond, 3 * time.Second, 100 * time.Millisecond
)

// serve is an agent's life.
func serve(operatorFile string) error {
	hangup := make(chan os.Signal, 1) // taken from here on: one that nobody takes ends the process
	signal.Notify(hangup, syscall.SIGHUP)
	orders := options.Defaults()
	if operatorFile != "" {
		var err error
		if orders, err = options.Read(operatorFile); err != nil {
			return err
		}
	}
	logTo(orders.Log)
	file, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	post, ration, circle, seed := file.Identity(), file.ResourceLimits(), file.Peers(), file.Seed()
	goods, customers := file.Deployment.RequestClasses(), file.Deployment.Tenants()
	shares, stalls := file.Deployment.TenantShares(), file.Deployment.ClassPriorities()
	zones, lines := file.Deployment.Zones(), file.Deployment.Connections()
	if err = file.Err(); err != nil {
		return err
	}
	module, err := file.Deployment.NewRouter(seed)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(max(1, math.Ceil(ration.Cores))))
	debug.SetMemoryLimit(int64(heapPart * float64(ration.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(collectAt)

	var names []string
	var effects []policy.Idempotency
	var expiry []time.Duration
	longest := time.Duration(0)
	for _, g := range goods {
		names, effects, expiry = append(names, g.Name), append(effects, g.Idempotency), append(expiry, g.Timeout)
		longest = max(longest, g.Timeout)
	}
	purse := connlimit.NewBudget(ration.Sockets - ownSockets)
	clock := agent.NewClock()
	core := agent.NewLoop(module, clock)
	pool := upstream.NewPool(upstream.Config{
		DialTimeout: lines.DialTimeout, IdleTimeout: lines.IdleTimeout, LoadReportFields: lines.LoadReportFields, Budget: purse,
		SettleTime: upstream.DefaultSettleTime,
	})
	roster := discovery.NewClient(core, post.Discovery, zones, lines.DialTimeout, lines.PollWithin, file.Deployment.Voting().Agents, int64(seed))
	launcher := rollout.NewClient(core, post.Rollout, lines.DialTimeout, lines.CallTimeout, int64(seed))
	peers, err := gossip.NewMessenger(core, circle.Listen, circle.Addresses, circle.Broadcast)
	if err != nil {
		return err
	}
	front := proxy.New(proxy.Config{
		Loop: core, Classes: proxy.RequestClasses(names, effects, expiry), Tenants: customers,
		MaxOpenRequests: lines.MaxOpenRequests, MaxRetryAfter: lines.MaxRetryAfter, Budget: purse,
		LastRequestID: rand.New(rand.NewSource(int64(seed))).Uint64() >> 12,
	})
	var gate *proxy.AdmissionGate
	if orders.Admission.Enabled {
		gate = proxy.NewAdmissionGate(open(orders.Admission, goods, stalls, customers, shares, lines, ration, purse, seed), clock, core)
		front.UseAdmission(gate, proxy.ClientKey{Header: orders.Admission.Header, Connection: orders.Admission.Client == "connection"})
	}
	seat, err := sit(orders.Coordinator, circle, file.Deployment, int64(seed), core, launcher, peers)
	if err != nil {
		return err
	}
	for _, name := range orders.UnknownTenants(customers) {
		slog.Warn("operator's file names a tenant that was not told", "tenant", name)
	}

	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	if err = roster.Known(file.Endpoints); err != nil {
		return err
	}
	if err = launcher.Known(file.Rollout); err != nil {
		return err
	}
	if seat != nil {
		if err = seat.serve(ctx, orders.Coordinator); err != nil {
			return err
		}
	}
	go core.Serve(ctx, pool, launcher.Vote, peers.Post)
	core.Flush(ctx) // no txn before the list and the news
	go roster.Serve(ctx)
	go launcher.Serve(ctx)
	go peers.Serve(ctx)
	if gate != nil {
		go gate.Serve(ctx)
	}
	if err = front.Listen(post.Listen); err != nil {
		return fmt.Errorf("setting config.listen: %w", err)
	}
	go func() {
		for range hangup {
			file = reload(file, roster, launcher)
			if orders = reorder(orders, customers, shares, gate); seat != nil {
				seat.reach(orders.Coordinator.Peers)
			}
		}
	}()
	slog.Info("serves", "agent", post.Name, "listen", post.Listen)
	served := make(chan error, 1)
	go func() { served <- front.Serve() }()
	select {
	case err = <-served:
		return fmt.Errorf("serving clients: %w", err)
	case <-stopped.Done():
	}
	slog.Info("drains")
	wait, cancel := context.WithTimeout(ctx, min(longest, longestCounts)+killAfter-drainSpare)
	defer cancel()
	leave := func(context.Context) {}
	if seat != nil {
		leave = seat.council.Leave
	}
	if err = depart(wait, leave, front.Drain); err != nil {
		slog.Warn("drained with txns open", "err", err)
	}
	if gate != nil {
		gate.Close(wait)
	}
	slog.Info("ended")
	return nil
}

// depart passes the lead on and drains, beside each other: a lead that is slow to go, behind a disk or others that are silent, would
// have the time in which clients are still answered, and leave those it had taken without one.
func depart(ctx context.Context, leave func(context.Context), drain func(context.Context) error) error {
	left := make(chan struct{})
	go func() {
		defer close(left)
		leave(ctx)
	}()
	err := drain(ctx)
	select {
	case <-left:
	case <-ctx.Done():
	}
	return err
}

// reload hands on what the file has changed that may change at work; a faulty file leaves all as it is.
func reload(file *config.File, roster *discovery.Client, launcher *rollout.Client) *config.File {
	next, moved, left, err := file.Reload()
	if err != nil {
		slog.Error("reload: the old stays in force", "err", err)
		return file
	}
	slog.Info("reload", "discovery", moved.Discovery, "platform.address", moved.Rollout)
	if len(left) > 0 {
		slog.Warn("reload: other keys need a restart", "keys", left)
	}
	if moved.Discovery != "" {
		roster.Move(moved.Discovery)
	}
	if moved.Rollout != "" {
		launcher.Move(moved.Rollout)
	}
	return next
}

// open makes the door that the operator asks for.
func open(keep options.Admission, goods []config.RequestClass, stalls []config.ClassPriority, customers []string, shares []float64,
	lines config.Connections, ration config.ResourceLimits, purse *connlimit.Budget, seed uint64,
) *admission.Controller {
	var products []admission.RequestClass
	for i, g := range goods {
		products = append(products, admission.RequestClass{
			LatencyObjective: stalls[i].LatencyObjective.Microseconds(), Timeout: g.Timeout.Microseconds(),
			PriorityWeight: stalls[i].PriorityWeight, Keyed: g.Idempotency == policy.Keyed,
		})
	}
	room := admission.LimitsFor(ration.MemoryMB, min(lines.MaxOpenRequests, purse.MaxRequests()), keep.Queues)
	if keep.Requests > 0 {
		room.Requests = min(room.Requests, keep.Requests)
	}
	if keep.Bytes > 0 {
		room.Bytes = keep.Bytes
	}
	waits := admission.RetryAfterLimits{}
	if keep.SendsRetryAfter {
		waits.Max = lines.MaxRetryAfter.Microseconds()
	}
	slog.Info("door", "txns", room.Requests, "kib", room.Bytes>>10, "queues", room.Queues, "tenants", len(customers))
	return admission.New(products, weights(keep, customers, shares), room, waits, keep.Coalesces, int64(seed))
}

// weights are the told shares, or what the operator has put in their place.
func weights(keep options.Admission, customers []string, shares []float64) (out []admission.Tenant) {
	for i, name := range customers {
		w := shares[i]
		if own, is := keep.Weights[name]; is {
			w = own
		}
		out = append(out, admission.Tenant{Weight: w})
	}
	return out
}

// logTo puts the log's level and form in force.
func logTo(book options.Log) {
	var level slog.Level
	level.UnmarshalText([]byte(book.Level))
	how := &slog.HandlerOptions{Level: level}
	if book.Format == "json" {
		slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, how)))
	} else {
		slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, how)))
	}
}

// reorder reads the operator's file again: log and shares take effect at once, other keywords need a restart, and a faulty
// file changes nothing.
func reorder(now *options.Options, customers []string, shares []float64, gate *proxy.AdmissionGate) *options.Options {
	if now.Path == "" {
		return now
	}
	next, err := options.Read(now.Path)
	if err != nil {
		slog.Error("operator's file: the old stays in force", "err", err)
		return now
	}
	logTo(next.Log)
	if gate != nil {
		gate.SetWeights(weights(next.Admission, customers, shares))
	}
	if left := now.ChangedKeywords(next); len(left) > 0 {
		slog.Warn("operator's file: other keywords need a restart", "keywords", left)
	}
	slog.Info("operator's file read again", "file", next.Path)
	return next
}
