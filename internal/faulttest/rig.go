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
	movedSeedSalt      = 3
)

// Rig is the deployment of a scenario: processes, fake servers, and a relay on each link between them.
type Rig struct {
	scenario      *Scenario
	dir           string
	programs      map[string]string
	withoutRelays bool // to measure what relays cost
	startedAt     time.Time
	now           netfault.Clock
	ctx           context.Context // of the run: it bounds all that the rig starts
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
	events         []Event
	stopClients    context.CancelFunc
}

// Event is something that the rig did or saw, for the time line.
type Event struct {
	At   netfault.Micros
	Who  string
	What string
}

const warmSince netfault.Micros = -1

// buildRig sets all up and starts the agents together. On an error it closes the rig, which is returned for its records.
func buildRig(ctx context.Context, s *Scenario, dir string, options RunOptions) (r *Rig, err error) {
	r = &Rig{scenario: s, dir: dir, programs: options.Programs, withoutRelays: options.Direct, startedAt: time.Now(), ctx: ctx}
	r.now = func() netfault.Micros { return time.Since(r.startedAt).Microseconds() }
	defer func() {
		if err != nil {
			r.close()
		}
	}()
	if err = r.startServers(); err != nil {
		return r, err
	}
	for i := range s.Agents {
		a, err := newAgent(i, dir)
		if err != nil {
			return r, err
		}
		r.agents = append(r.agents, a)
	}
	if err = r.startRelays(); err != nil {
		return r, err
	}
	if err = r.addEndpoints(s.Endpoints, s.Build, false); err != nil {
		return r, err
	}
	r.clients = newClientLoad(r.now, r.agentAddresses(), r.runningAgents, r.wasKilled)
	return r, r.startAgents()
}

func (r *Rig) startServers() (err error) {
	if r.discovery, err = newFakeDiscovery(r.now, r.endpointAddress); err != nil {
		return err
	}
	if r.rollout, err = newFakeRollout(r.now, r.scenario.Build); err != nil {
		return err
	}
	r.recorder = newEndpointRecorder(r.now)
	return nil
}

func (r *Rig) agentAddresses() (out []string) {
	for _, a := range r.agents {
		out = append(out, a.listenAddress)
	}
	return out
}

// startRelays starts the relays between agents, and from agents to discovery and the rollout controller.
func (r *Rig) startRelays() (err error) {
	if err = r.startMesh(); err != nil {
		return err
	}
	agents := r.scenario.Agents
	r.toEndpoint = make([][]*netfault.Stream, agents)
	r.toDiscovery = make([][]*netfault.Stream, agents)
	r.toRollout = make([][]*netfault.Stream, agents)
	r.toPeer = make([][]*netfault.Stream, agents)
	for i := range agents {
		if err = r.addRelay(i, &r.toDiscovery[i], r.discovery.addr(), discoverySeedSalt); err != nil {
			return err
		}
		if err = r.addRelay(i, &r.toRollout[i], r.rollout.addr(), rolloutSeedSalt); err != nil {
			return err
		}
		if err = r.startPeerRelays(i); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) startMesh() (err error) {
	if r.scenario.Transport != transportDatagrams || r.withoutRelays {
		return nil
	}
	var addresses []string
	for _, a := range r.agents {
		addresses = append(addresses, a.datagramAddress)
	}
	r.mesh, err = netfault.NewMesh(addresses, r.scenario.Seed*meshSeedFactor, r.now)
	return err
}

// startPeerRelays starts an agent's relays to the streams of its peers.
func (r *Rig) startPeerRelays(agent int) error {
	r.toPeer[agent] = make([]*netfault.Stream, r.scenario.Agents)
	if r.scenario.Transport != transportTCP || r.withoutRelays {
		return nil
	}
	for peer := range r.toPeer[agent] {
		if peer == agent {
			continue
		}
		seed := r.scenario.Seed*peerSeedFactor + int64(agent)*256 + int64(peer)
		s, err := netfault.NewStream(agent, r.agents[peer].streamAddress, seed, r.now)
		if err != nil {
			return err
		}
		r.toPeer[agent][peer] = s
	}
	return nil
}

// addRelay gives an agent one more relay to a server; the agent reaches the server by the newest one.
func (r *Rig) addRelay(agent int, relays *[]*netfault.Stream, target string, salt int64) error {
	if r.withoutRelays {
		return nil
	}
	seed := r.scenario.Seed*serverSeedFactor + int64(agent)*64 + salt + int64(len(*relays))*32
	s, err := netfault.NewStream(agent, target, seed, r.now)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	*relays = append(*relays, s)
	return nil
}

// currentAddress is where an agent reaches a server now.
func (r *Rig) currentAddress(relays []*netfault.Stream, server string) string {
	if r.withoutRelays {
		return server
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return relays[len(relays)-1].Addr()
}

// endpointAddress is where an agent reaches an endpoint.
func (r *Rig) endpointAddress(agent, endpoint int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.withoutRelays || agent < 0 {
		return r.endpoints[endpoint].Addr()
	}
	return r.toEndpoint[agent][endpoint].Addr()
}

// addEndpoints starts endpoints of a build, cold or long warm, and lists them.
func (r *Rig) addEndpoints(count, build int, cold bool) error {
	var rows []EndpointRow
	for range count {
		row, err := r.addEndpoint(build, cold)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	r.discovery.update(func(old []EndpointRow) []EndpointRow { return append(old, rows...) })
	return nil
}

func (r *Rig) addEndpoint(build int, cold bool) (row EndpointRow, err error) {
	l, err := listen()
	if err != nil {
		return row, err
	}
	r.mu.Lock()
	number := len(r.endpoints)
	r.mu.Unlock()
	s := r.scenario
	endpoint := fakes.NewEndpointAt(l, endpointName(number), build, s.Slots, s.ServiceTime, s.Seed*31+int64(number), r.recorder, connContext)
	relays, err := r.startEndpointRelays(endpoint.Addr(), number)
	if err != nil {
		endpoint.Close()
		return row, err
	}
	row = EndpointRow{Endpoint: number, Health: healthActive, Build: build}
	started := warmSince
	if cold {
		endpoint.SetSlowStart(fakes.InitialCapacity, fakes.SlowStartDuration)
		row.StartedAtMS, started = time.Now().UnixMilli(), r.now()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = append(r.endpoints, endpoint)
	r.endpointStarts = append(r.endpointStarts, started)
	for agent, relay := range relays {
		r.toEndpoint[agent] = append(r.toEndpoint[agent], relay)
	}
	return row, nil
}

// startEndpointRelays starts a relay to an endpoint for each agent.
func (r *Rig) startEndpointRelays(target string, endpoint int) (relays []*netfault.Stream, err error) {
	if r.withoutRelays {
		return nil, nil
	}
	for agent := range r.agents {
		seed := r.scenario.Seed*endpointSeedFactor + int64(agent)*1024 + int64(endpoint)
		s, err := netfault.NewStream(agent, target, seed, r.now)
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
func (r *Rig) recordEvent(who, format string, args ...any) {
	event := Event{r.now(), who, fmt.Sprintf(format, args...)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

func (r *Rig) snapshotEvents() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// stopLoad ends the clients' load; requests that were sent go on to their end.
func (r *Rig) stopLoad() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopClients != nil {
		r.stopClients()
	}
	r.stopClients = nil
}

// close ends all that was started, in whatever state it is.
func (r *Rig) close() {
	r.stopLoad()
	for _, a := range r.agents {
		r.killAgent(a)
	}
	if r.clients != nil {
		r.clients.wait()
	}
	for _, relay := range r.streamRelays() {
		relay.stream.Close()
	}
	if r.mesh != nil {
		r.mesh.Close()
	}
	for _, endpoint := range r.endpoints {
		endpoint.Close()
	}
	// The servers' listeners are of no use any more: what closing them reports can't matter.
	if r.discovery != nil {
		_ = r.discovery.server.Close()
	}
	if r.rollout != nil {
		_ = r.rollout.server.Close()
	}
}

// killAgent ends an agent's process and waits until it is gone.
func (r *Rig) killAgent(a *agent) {
	r.mu.Lock()
	process := a.process
	r.mu.Unlock()
	if process == nil {
		return
	}
	if !process.HasExited() {
		process.Kill()
	}
	<-process.Done()
}
