package faulttest

import (
	"context"
	"fmt"
	"time"

	"switchfork/internal/faulttest/netfault"
)

// deployment is what a scenario runs on: agent processes, fake servers, clients, and a relay on each link between agents and from agents to
// servers.
type deployment struct {
	scenario  *Scenario
	startedAt time.Time
	now       netfault.Clock
	events    *eventLog
	relays    *relayNetwork
	discovery *fakeDiscovery // nil: it was not started
	rollout   *fakeRollout   // nil: it was not started
	endpoints *endpointGroup
	agents    *agentGroup
	clients   *clients // nil: the deployment failed to start before they were created
}

// startDeployment sets up the servers, relays and clients, and starts the agents at the same time. On an error it closes the deployment and
// returns it together with the error, so that the logs can be written.
func startDeployment(ctx context.Context, s *Scenario, dir string, options RunOptions) (d *deployment, err error) {
	d = newDeployment(s, options)
	if err := d.start(ctx, dir); err != nil {
		d.close()
		return d, err
	}
	return d, nil
}

// newDeployment creates the parts of the deployment that need no server.
func newDeployment(s *Scenario, options RunOptions) *deployment {
	d := &deployment{scenario: s, startedAt: time.Now()}
	d.now = func() netfault.Micros { return time.Since(d.startedAt).Microseconds() }
	d.events = &eventLog{now: d.now}
	d.relays = newRelayNetwork(s, d.now, options.Direct)
	d.endpoints = &endpointGroup{scenario: s, now: d.now, relays: d.relays, recorder: newEndpointRecorder(d.now)}
	d.agents = &agentGroup{scenario: s, now: d.now, events: d.events, programs: options.Programs}
	return d
}

func (d *deployment) start(ctx context.Context, dir string) (err error) {
	if err := d.startServers(ctx); err != nil {
		return err
	}
	if d.agents.all, err = newAgents(ctx, d.scenario.Agents, dir); err != nil {
		return err
	}
	d.agents.files = &agentFiles{
		scenario: d.scenario, relays: d.relays, discovery: d.discovery, rollout: d.rollout, agents: d.agents.all,
	}
	if err := d.startRelays(ctx); err != nil {
		return fmt.Errorf("starting the relays: %w", err)
	}
	if err := d.endpoints.add(ctx, d.scenario.Endpoints.Count, d.scenario.Endpoints.Build, false); err != nil {
		return err
	}
	d.clients = newClients(d.now, d.agents.listenAddresses(), d.agents)
	return d.agents.startAll(ctx)
}

func (d *deployment) startServers(ctx context.Context) (err error) {
	if d.discovery, err = newFakeDiscovery(ctx, d.now, d.relays.endpointAddress); err != nil {
		return fmt.Errorf("starting discovery: %w", err)
	}
	d.endpoints.discovery = d.discovery
	if d.rollout, err = newFakeRollout(ctx, d.now, d.scenario.Endpoints.Build); err != nil {
		return fmt.Errorf("starting the rollout controller: %w", err)
	}
	return nil
}

// startRelays starts the relays between agents, and from agents to discovery and the rollout controller.
func (d *deployment) startRelays(ctx context.Context) error {
	var datagramAddresses, streamAddresses []string
	for _, a := range d.agents.all {
		datagramAddresses = append(datagramAddresses, a.datagramAddress)
		streamAddresses = append(streamAddresses, a.streamAddress)
	}
	if d.scenario.Transport == transportDatagrams {
		if err := d.relays.startMesh(ctx, datagramAddresses); err != nil {
			return err
		}
	}
	if err := d.relays.startServerRelays(ctx, d.discovery.listener, d.rollout.listener); err != nil {
		return err
	}
	if d.scenario.Transport == transportTCP {
		return d.relays.startPeerRelays(ctx, streamAddresses)
	}
	return nil
}

// close stops everything that was started. It may be called on a deployment that was started only in part.
func (d *deployment) close() {
	if d.clients != nil {
		d.clients.stop()
	}
	d.agents.killAll()
	if d.clients != nil {
		d.clients.wait()
	}
	d.relays.close()
	d.endpoints.close()
	// The servers are no longer needed, so errors of closing them are ignored.
	if d.discovery != nil {
		_ = d.discovery.server.Close()
	}
	if d.rollout != nil {
		_ = d.rollout.server.Close()
	}
}
