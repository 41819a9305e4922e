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

	"switchfork/internal/agent"
	"switchfork/internal/config"
	"switchfork/internal/connlimit"
	"switchfork/internal/discovery"
	"switchfork/internal/gossip"
	"switchfork/internal/options"
	"switchfork/internal/proxy"
	"switchfork/internal/rollout"
	"switchfork/internal/upstream"
)

const (
	// heapShare is the part of the agent's memory that the garbage collector's limit gets; the rest is for stacks, buffers and the
	// program.
	heapShare = 0.7
	// gcPercent lets garbage grow to several times the live data, which is a few MB, before collecting it is worth the time.
	gcPercent = 400
	// reservedDescriptors are those that are not for connections to clients and endpoints: the listener, gossip, discovery, the rollout
	// controller, the log and what the runtime holds, with some to spare.
	reservedDescriptors = 32

	// requestIDShift leaves 52 bits of the random number at which request IDs begin.
	requestIDShift = 12
)

// A drain has to be over when SIGKILL comes: by the protocol no sooner than killDelay after the longest request timeout, which counts as
// maxDrainTimeout where it is longer. drainReserve is left for the log, and for an exit that the system is slow to notice.
const (
	killDelay       = 700 * time.Millisecond
	maxDrainTimeout = 3 * time.Second
	drainReserve    = 100 * time.Millisecond
)

// deploymentSettings are the values of the configuration from which an agent is built.
type deploymentSettings struct {
	identity        config.Identity
	limits          config.ResourceLimits
	peers           config.Peers
	seed            uint64
	classes         []config.RequestClass
	classPriorities []config.ClassPriority // in the order of classes
	tenants         []string
	tenantShares    []float64 // in the order of tenants
	zones           []string
	connections     config.Connections
}

// agentProcess is an agent with all its parts.
type agentProcess struct {
	file     *config.File
	options  *options.Options
	settings deploymentSettings

	clock       agent.Clock
	budget      *connlimit.Budget
	loop        *agent.Loop
	pool        *upstream.Pool
	discovery   *discovery.Client
	rollout     *rollout.Client
	gossip      *gossip.Messenger
	proxy       *proxy.Proxy
	admission   *proxy.AdmissionLoop // nil: admission control is off
	coordinator *coordinatorWiring   // nil: this agent's votes stand for itself alone
}

// serve runs an agent until it is told to end, and drains it.
func serve(optionsPath string) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // first of all: a SIGHUP that is not caught ends the process
	opts, err := readOptions(optionsPath)
	if err != nil {
		return err
	}
	setLogger(opts.Log)
	warnOfRenamed(opts.Renamed)
	process, err := newAgentProcess(opts)
	if err != nil {
		return err
	}

	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	if err := process.start(ctx); err != nil {
		return err
	}
	go process.newReloader().run(hangup)
	slog.Info("agent started", "agent", process.settings.identity.Name, "listen", process.settings.identity.Listen)
	served := make(chan error, 1)
	go func() { served <- process.proxy.Serve() }()
	select {
	case err := <-served:
		return fmt.Errorf("serving clients: %w", err)
	case <-stopped.Done():
	}
	process.drain(ctx)
	slog.Info("agent stopped")
	return nil
}

// readOptions reads the operator's file, or returns the defaults where there is none.
func readOptions(path string) (*options.Options, error) {
	if path == "" {
		return options.Defaults(), nil
	}
	return options.Read(path)
}

// warnOfRenamed logs which keywords of the operator's file have another name now.
func warnOfRenamed(renamed []options.RenamedKeyword) {
	for _, keyword := range renamed {
		slog.Warn("option renamed: the old name is still read", "file", keyword.Path, "line", keyword.Line, "keyword", keyword.Written, "new_name", keyword.Current)
	}
}

// setLogger sets the log's level and format.
func setLogger(opts options.Log) {
	var level slog.Level
	_ = level.UnmarshalText([]byte(opts.Level)) // checked when the options are read
	handlerOptions := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(os.Stderr, handlerOptions)
	if opts.Format == "json" {
		handler = slog.NewJSONHandler(os.Stderr, handlerOptions)
	}
	slog.SetDefault(slog.New(handler))
}

// readSettings reads the configuration's values, and checks them all.
func readSettings(file *config.File) (deploymentSettings, error) {
	settings := deploymentSettings{
		identity:        file.Identity(),
		limits:          file.ResourceLimits(),
		peers:           file.Peers(),
		seed:            file.Seed(),
		classes:         file.Deployment.RequestClasses(),
		tenants:         file.Deployment.Tenants(),
		tenantShares:    file.Deployment.TenantShares(),
		classPriorities: file.Deployment.ClassPriorities(),
		zones:           file.Deployment.Zones(),
		connections:     file.Deployment.Connections(),
	}
	return settings, file.Err()
}

// setRuntimeLimits fits the Go runtime to what the agent may use.
func setRuntimeLimits(limits config.ResourceLimits) {
	const bytesPerMB = 1 << 20
	runtime.GOMAXPROCS(int(max(1, math.Ceil(limits.Cores))))
	debug.SetMemoryLimit(int64(heapShare * float64(limits.MemoryMB) * bytesPerMB))
	debug.SetGCPercent(gcPercent)
}

// newAgentProcess reads the configuration and builds an agent of it, which start starts.
func newAgentProcess(opts *options.Options) (*agentProcess, error) {
	file, err := config.Load(os.Getenv)
	if err != nil {
		return nil, err
	}
	settings, err := readSettings(file)
	if err != nil {
		return nil, err
	}
	router, err := file.Deployment.NewRouter(settings.seed)
	if err != nil {
		return nil, err
	}
	setRuntimeLimits(settings.limits)
	p := &agentProcess{file: file, options: opts, settings: settings}
	p.clock = agent.NewClock()
	p.budget = connlimit.NewBudget(settings.limits.Sockets - reservedDescriptors)
	p.loop = agent.NewLoop(router, p.clock)
	p.pool = p.newPool()
	p.discovery = p.newDiscoveryClient()
	p.rollout = p.newRolloutClient()
	p.gossip, err = gossip.NewMessenger(p.loop, settings.peers.Listen, settings.peers.Addresses, settings.peers.Broadcast)
	if err != nil {
		return nil, err
	}
	p.proxy = p.newProxy()
	if opts.Admission.Enabled {
		p.enableAdmission()
	}
	p.coordinator, err = wireCoordinator(opts.Coordinator, settings.peers, file.Deployment, int64(settings.seed), p.loop, p.rollout, p.gossip)
	if err != nil {
		return nil, err
	}
	for _, name := range opts.UnknownTenants(settings.tenants) {
		slog.Warn("options name a tenant that is not configured", "tenant", name)
	}
	return p, nil
}

func (p *agentProcess) newPool() *upstream.Pool {
	connections := p.settings.connections
	return upstream.NewPool(upstream.Config{
		DialTimeout:      connections.DialTimeout,
		IdleTimeout:      connections.IdleTimeout,
		LoadReportFields: connections.LoadReportFields,
		Budget:           p.budget,
		SettleTime:       upstream.DefaultSettleTime,
	})
}

func (p *agentProcess) newDiscoveryClient() *discovery.Client {
	connections := p.settings.connections
	agents := p.file.Deployment.Voting().Agents
	return discovery.NewClient(p.loop, p.settings.identity.Discovery, p.settings.zones, connections.DialTimeout, connections.PollWithin,
		agents, int64(p.settings.seed))
}

func (p *agentProcess) newRolloutClient() *rollout.Client {
	connections := p.settings.connections
	return rollout.NewClient(p.loop, p.settings.identity.Rollout, connections.DialTimeout, connections.CallTimeout, int64(p.settings.seed))
}

func (p *agentProcess) newProxy() *proxy.Proxy {
	var classes []proxy.RequestClass
	for _, class := range p.settings.classes {
		classes = append(classes, proxy.RequestClass{Name: class.Name, Idempotency: class.Idempotency, Timeout: class.Timeout})
	}
	return proxy.New(proxy.Config{
		Loop:            p.loop,
		Classes:         classes,
		Tenants:         p.settings.tenants,
		MaxOpenRequests: p.settings.connections.MaxOpenRequests,
		MaxRetryAfter:   p.settings.connections.MaxRetryAfter,
		Budget:          p.budget,
		LastRequestID:   firstRequestID(p.settings.seed),
	})
}

// firstRequestID is the number at which an agent's request IDs begin.
func firstRequestID(seed uint64) uint64 {
	return rand.New(rand.NewSource(int64(seed))).Uint64() >> requestIDShift
}

// start starts the agent's parts, which run until ctx ends, and opens its address to clients.
func (p *agentProcess) start(ctx context.Context) error {
	if err := p.discovery.Known(p.file.Endpoints); err != nil {
		return err
	}
	if err := p.rollout.Known(p.file.Rollout); err != nil {
		return err
	}
	if p.coordinator != nil {
		if err := p.coordinator.serve(ctx, p.options.Coordinator); err != nil {
			return err
		}
	}
	go p.loop.Serve(ctx, p.pool, p.rollout.Vote, p.gossip.SendCommand)
	p.loop.Flush(ctx) // no request before the configured endpoint list and rollout update
	go p.discovery.Serve(ctx)
	go p.rollout.Serve(ctx)
	go p.gossip.Serve(ctx)
	if p.admission != nil {
		go p.admission.Serve(ctx)
	}
	if err := p.proxy.Listen(p.settings.identity.Listen); err != nil {
		return fmt.Errorf("setting config.listen: %w", err)
	}
	return nil
}

// drain lets open requests finish and passes the leadership on, in the time that is left before the process is killed.
func (p *agentProcess) drain(ctx context.Context) {
	slog.Info("drain started")
	ctx, cancel := context.WithTimeout(ctx, p.drainTimeout())
	defer cancel()
	passLeadership := func(context.Context) {}
	if p.coordinator != nil {
		passLeadership = p.coordinator.coordinator.Leave
	}
	if err := drainAndPassLeadership(ctx, passLeadership, p.proxy.Drain); err != nil {
		slog.Warn("drain timed out with open requests", "err", err)
	}
	if p.admission != nil {
		p.admission.Close(ctx)
	}
}

// drainTimeout is the longest that a drain may take.
func (p *agentProcess) drainTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range p.settings.classes {
		longest = max(longest, class.Timeout)
	}
	return min(longest, maxDrainTimeout) + killDelay - drainReserve
}

// drainAndPassLeadership does both at the same time: a leadership that is slow to pass, behind a disk or agents that are silent, would
// use up the time in which clients are still answered, and leave the requests that were accepted without an answer.
func drainAndPassLeadership(ctx context.Context, passLeadership func(context.Context), drain func(context.Context) error) error {
	passed := make(chan struct{})
	go func() {
		defer close(passed)
		passLeadership(ctx)
	}()
	err := drain(ctx)
	select {
	case <-passed:
	case <-ctx.Done():
	}
	return err
}
