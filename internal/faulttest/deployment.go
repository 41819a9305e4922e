package faulttest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// Seeds of the relays' random sources: a factor on the scenario's seed for each kind of relay, so that no two relays draw alike.
const (
	meshSeedFactor     = 7919
	serverSeedFactor   = 6151
	peerSeedFactor     = 104_729
	endpointSeedFactor = 15_485_863
	discoverySeedSalt  = 1
	rolloutSeedSalt    = 2
	loadSeedFactor     = 257
	crowdSeedFactor    = 389
	movedSeedSalt      = 3
)

// deployment is what a scenario runs on: processes, fake servers, and a relay on each link between them.
type deployment struct {
	scenario      *Scenario
	dir           string
	programs      map[string]string
	withoutRelays bool // to measure what relays cost
	startedAt     time.Time
	now           netfault.Clock
	ctx           context.Context // of the run: it bounds all that the deployment starts
	discovery     *fakeDiscovery
	rollout       *fakeRollout
	recorder      *endpointRecorder
	agents        []*agent
	clients       *clientLoad
	mesh          *netfault.Mesh

	mu             sync.Mutex
	endpoints      []*fakes.Endpoint
	endpointStarts []netfault.Micros    // when each started, cold; -1: long before the run
	toEndpoint     [][]*netfault.Stream // by agent and endpoint
	toPeer         [][]*netfault.Stream // by agent and agent; nil where agents don't speak over TCP
	toDiscovery    [][]*netfault.Stream // by agent; the last one is in use
	toRollout      [][]*netfault.Stream
	events         []event
	stopClients    map[int]context.CancelFunc // the load's, by agent

	stopCrowdClients context.CancelFunc
}

// event is something that the deployment did or saw, for the time line.
type event struct {
	at     netfault.Micros
	source string
	text   string
}

const warmSince netfault.Micros = -1

// startDeployment sets all up and starts the agents together. On an error it closes the deployment, which is returned for its records.
func startDeployment(ctx context.Context, s *Scenario, dir string, options RunOptions) (d *deployment, err error) {
	d = &deployment{scenario: s, dir: dir, programs: options.Programs, withoutRelays: options.Direct, startedAt: time.Now(), ctx: ctx, stopClients: map[int]context.CancelFunc{}}
	d.now = func() netfault.Micros { return time.Since(d.startedAt).Microseconds() }
	defer func() {
		if err != nil {
			d.close()
		}
	}()
	if err = d.startServers(); err != nil {
		return d, err
	}
	for i := range s.Agents {
		a, err := newAgent(ctx, i, dir)
		if err != nil {
			return d, err
		}
		d.agents = append(d.agents, a)
	}
	if err = d.startRelays(); err != nil {
		return d, err
	}
	if err = d.addEndpoints(s.Endpoints, s.Build, false); err != nil {
		return d, err
	}
	d.clients = newClientLoad(d.now, d.agentAddresses(), d.runningAgents, d.wasKilled)
	return d, d.startAgents()
}

func (d *deployment) startServers() (err error) {
	if d.discovery, err = newFakeDiscovery(d.ctx, d.now, d.endpointAddress); err != nil {
		return err
	}
	if d.rollout, err = newFakeRollout(d.ctx, d.now, d.scenario.Build); err != nil {
		return err
	}
	d.recorder = newEndpointRecorder(d.now)
	return nil
}

func (d *deployment) agentAddresses() (out []string) {
	for _, a := range d.agents {
		out = append(out, a.listenAddress)
	}
	return out
}

// startRelays starts the relays between agents, and from agents to discovery and the rollout controller.
func (d *deployment) startRelays() (err error) {
	if err = d.startMesh(); err != nil {
		return err
	}
	agents := d.scenario.Agents
	d.toEndpoint = make([][]*netfault.Stream, agents)
	d.toDiscovery = make([][]*netfault.Stream, agents)
	d.toRollout = make([][]*netfault.Stream, agents)
	d.toPeer = make([][]*netfault.Stream, agents)
	for i := range agents {
		if err = d.addRelay(i, &d.toDiscovery[i], d.discovery.addr(), discoverySeedSalt); err != nil {
			return err
		}
		if err = d.addRelay(i, &d.toRollout[i], d.rollout.addr(), rolloutSeedSalt); err != nil {
			return err
		}
		if err = d.startPeerRelays(i); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startMesh() (err error) {
	if d.scenario.Transport != transportDatagrams || d.withoutRelays {
		return nil
	}
	var addresses []string
	for _, a := range d.agents {
		addresses = append(addresses, a.datagramAddress)
	}
	d.mesh, err = netfault.NewMesh(addresses, d.scenario.Seed*meshSeedFactor, d.now)
	return err
}

// startPeerRelays starts an agent's relays to the streams of its peers.
func (d *deployment) startPeerRelays(agent int) error {
	d.toPeer[agent] = make([]*netfault.Stream, d.scenario.Agents)
	if d.scenario.Transport != transportTCP || d.withoutRelays {
		return nil
	}
	for peer := range d.toPeer[agent] {
		if peer == agent {
			continue
		}
		seed := d.scenario.Seed*peerSeedFactor + int64(agent)*256 + int64(peer)
		s, err := netfault.NewStream(agent, d.agents[peer].streamAddress, seed, d.now)
		if err != nil {
			return err
		}
		d.toPeer[agent][peer] = s
	}
	return nil
}

// addRelay gives an agent one more relay to a server; the agent reaches the server by the newest one.
func (d *deployment) addRelay(agent int, relays *[]*netfault.Stream, target string, salt int64) error {
	if d.withoutRelays {
		return nil
	}
	seed := d.scenario.Seed*serverSeedFactor + int64(agent)*64 + salt + int64(len(*relays))*32
	s, err := netfault.NewStream(agent, target, seed, d.now)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	*relays = append(*relays, s)
	return nil
}

// currentAddress is where an agent reaches a server now.
func (d *deployment) currentAddress(relays []*netfault.Stream, server string) string {
	if d.withoutRelays {
		return server
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return relays[len(relays)-1].Addr()
}

// endpointAddress is where an agent reaches an endpoint.
func (d *deployment) endpointAddress(agent, endpoint int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.withoutRelays || agent < 0 {
		return d.endpoints[endpoint].Addr()
	}
	return d.toEndpoint[agent][endpoint].Addr()
}

// addEndpoints starts endpoints of a build, cold or long warm, and lists them.
func (d *deployment) addEndpoints(count, build int, cold bool) error {
	var rows []EndpointRow
	for range count {
		row, err := d.addEndpoint(build, cold)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	d.discovery.update(func(old []EndpointRow) []EndpointRow { return append(old, rows...) })
	return nil
}

func (d *deployment) addEndpoint(build int, cold bool) (row EndpointRow, err error) {
	l, err := listen(d.ctx)
	if err != nil {
		return row, err
	}
	d.mu.Lock()
	number := len(d.endpoints)
	d.mu.Unlock()
	s := d.scenario
	endpoint := fakes.NewEndpointAt(l, fakes.EndpointOptions{
		Name: endpointName(number), Build: build, Slots: s.Slots, ServiceTime: s.ServiceTime, Seed: s.Seed*31 + int64(number),
		Observer: d.recorder, ConnContext: connContext,
	})
	relays, err := d.startEndpointRelays(endpoint.Addr(), number)
	if err != nil {
		endpoint.Close()
		return row, err
	}
	row = EndpointRow{Endpoint: number, Health: healthActive, Build: build}
	started := warmSince
	if cold {
		endpoint.SetSlowStart(fakes.InitialCapacity, fakes.SlowStartDuration)
		row.StartedAtMS, started = time.Now().UnixMilli(), d.now()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpoints = append(d.endpoints, endpoint)
	d.endpointStarts = append(d.endpointStarts, started)
	for agent, relay := range relays {
		d.toEndpoint[agent] = append(d.toEndpoint[agent], relay)
	}
	return row, nil
}

// startEndpointRelays starts a relay to an endpoint for each agent.
func (d *deployment) startEndpointRelays(target string, endpoint int) (relays []*netfault.Stream, err error) {
	if d.withoutRelays {
		return nil, nil
	}
	for agent := range d.agents {
		seed := d.scenario.Seed*endpointSeedFactor + int64(agent)*1024 + int64(endpoint)
		s, err := netfault.NewStream(agent, target, seed, d.now)
		if err != nil {
			for _, started := range relays {
				started.Close()
			}
			return nil, err
		}
		relays = append(relays, s)
	}
	return relays, nil
}

// recordEvent adds to the time line.
func (d *deployment) recordEvent(who, format string, args ...any) {
	event := event{d.now(), who, fmt.Sprintf(format, args...)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, event)
}

func (d *deployment) snapshotEvents() []event {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.events)
}

// replaceLoad ends the load at an agent; requests that were sent go on to their end. stop ends the next one.
func (d *deployment) replaceLoad(agent int, stop context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if previous := d.stopClients[agent]; previous != nil {
		previous()
	}
	d.stopClients[agent] = stop
}

// stopLoad ends the load at all agents.
func (d *deployment) stopLoad() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, stop := range d.stopClients {
		stop()
	}
	clear(d.stopClients)
}

// stopCrowd ends the crowd.
func (d *deployment) stopCrowd() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopCrowdClients != nil {
		d.stopCrowdClients()
	}
	d.stopCrowdClients = nil
}

// close ends all that was started, in whatever state it is.
func (d *deployment) close() {
	d.stopLoad()
	d.stopCrowd()
	for _, a := range d.agents {
		d.killAgent(a)
	}
	if d.clients != nil {
		d.clients.wait()
	}
	for _, relay := range d.streamRelays() {
		relay.stream.Close()
	}
	if d.mesh != nil {
		d.mesh.Close()
	}
	for _, endpoint := range d.endpoints {
		endpoint.Close()
	}
	// The servers' listeners are of no use any more: what closing them reports can't matter.
	if d.discovery != nil {
		_ = d.discovery.server.Close()
	}
	if d.rollout != nil {
		_ = d.rollout.server.Close()
	}
}

// killAgent ends an agent's process and waits until it is gone.
func (d *deployment) killAgent(a *agent) {
	d.mu.Lock()
	process := a.process
	d.mu.Unlock()
	if process == nil {
		return
	}
	if !process.HasExited() {
		process.Kill()
	}
	<-process.Done()
}
