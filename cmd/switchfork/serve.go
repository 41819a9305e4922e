package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"os"
	"os/signal"
	"syscall"

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
	// reservedDescriptors is the number of file descriptors that are not available for connections to clients and endpoints. The
	// listener, gossip, discovery, the rollout controller, the log and the runtime need some of them, and some are spare.
	reservedDescriptors = 32

	// requestIDShift shortens a random number of 64 bits to 52 bits. The agent's request IDs begin after this number.
	requestIDShift = 12
)

// agentProcess holds an agent's configuration and its parts.
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
	coordinator *coordinatorWiring   // nil: this agent votes only for itself
}

// serve runs an agent until SIGTERM or an interrupt, and then drains it.
func serve(optionsPath string) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // before anything else, because a SIGHUP that is not caught ends the process
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

// newAgentProcess reads the configuration and builds the parts of an agent. They run only after start.
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
	p.budget.LimitClients(settings.maxClients())
	p.loop = agent.NewLoop(router, p.clock)
	p.pool = p.newPool()
	p.discovery = p.newDiscoveryClient()
	p.rollout = p.newRolloutClient()
	p.gossip, err = gossip.NewMessenger(p.loop, gossip.Config{Listen: settings.peers.Listen, Peers: settings.peers.Addresses, Broadcast: settings.peers.Broadcast})
	if err != nil {
		return nil, err
	}
	p.proxy = p.newProxy()
	if opts.Admission.Enabled {
		p.enableAdmission()
	}
	p.coordinator, err = wireCoordinator(p.coordinatorConfig())
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
	return discovery.NewClient(p.loop, discovery.Config{
		Address:     p.settings.identity.Discovery,
		Zones:       p.settings.zones,
		DialTimeout: connections.DialTimeout,
		PollWithin:  connections.PollWithin,
		AgentCount:  agents,
		Seed:        int64(p.settings.seed),
	})
}

func (p *agentProcess) newRolloutClient() *rollout.Client {
	connections := p.settings.connections
	return rollout.NewClient(p.loop, rollout.Config{
		Address:     p.settings.identity.Rollout,
		DialTimeout: connections.DialTimeout,
		VoteTimeout: connections.CallTimeout,
		Seed:        int64(p.settings.seed),
	})
}

func (p *agentProcess) newProxy() *proxy.Proxy {
	var classes []proxy.RequestClass
	for _, class := range p.settings.classes {
		classes = append(classes, proxy.RequestClass{
			Name:        class.Name,
			Idempotency: class.Idempotency,
			MayRepeat:   class.MayRepeat,
			Timeout:     class.Timeout,
		})
	}
	return proxy.New(proxy.Config{
		Loop:            p.loop,
		Classes:         classes,
		Tenants:         p.settings.tenants,
		MaxOpenRequests: p.settings.connections.MaxOpenRequests,
		MaxRetryAfter:   p.settings.connections.MaxRetryAfter,
		Budget:          p.budget,
		Memory:          connlimit.NewMemoryBudget(p.settings.requestMemory()),
		LastRequestID:   firstRequestID(p.settings.seed),
	})
}

func (p *agentProcess) coordinatorConfig() coordinatorConfig {
	return coordinatorConfig{
		options: p.options.Coordinator,
		peers:   p.settings.peers,
		voting:  p.file.Deployment.Voting(),
		seed:    int64(p.settings.seed),
		loop:    p.loop,
		rollout: p.rollout,
		gossip:  p.gossip,
	}
}

// firstRequestID returns the random number, derived from seed, after which an agent's request IDs begin.
func firstRequestID(seed uint64) uint64 {
	return rand.New(rand.NewSource(int64(seed))).Uint64() >> requestIDShift
}

// start starts the agent's parts, which run until ctx ends, and listens for clients.
func (p *agentProcess) start(ctx context.Context) error {
	if err := p.discovery.PublishInitial(p.file.Endpoints); err != nil {
		return err
	}
	if err := p.rollout.PublishInitial(p.file.Rollout); err != nil {
		return err
	}
	if p.coordinator != nil {
		if err := p.coordinator.serve(ctx, p.options.Coordinator); err != nil {
			return err
		}
	}
	go p.loop.Serve(ctx, p.pool, p.rollout.Vote, p.gossip.SendCommand)
	p.loop.Flush(ctx) // the configured endpoint list and rollout update must be handled before the first request
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
