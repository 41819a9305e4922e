package faulttest

import (
	"fmt"
	"slices"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

const (
	agentMemoryMB = 192
	// tenant is the only tenant in a scenario.
	tenant = "beqa"
)

// agentFiles creates the contents of the agents' configurations and operator files.
type agentFiles struct {
	scenario  *Scenario
	relays    *relayNetwork
	discovery *fakeDiscovery
	rollout   *fakeRollout
	agents    []*agent
}

// configuredVersions holds the start time of a process, and the versions that its configuration contained.
type configuredVersions struct {
	at           netfault.Micros
	endpointList int
	rolloutState int
}

// operatorLines returns the lines of an agent's operator file at the start.
func (f *agentFiles) operatorLines(a *agent) (lines []string) {
	s := f.scenario
	if !s.Election.IsOn {
		return append(lines, s.OperatorLines...)
	}
	lines = append(lines, "leader-election on", "election-lease "+s.Election.Lease.String(), "admin "+a.adminAddress)
	if s.Election.HasStateDirs {
		lines = append(lines, "state-folder "+a.stateDir)
	}
	if s.Transport == transportTCP {
		lines = append(lines, fmt.Sprintf("replica-id %d", a.number), "election-listen "+a.streamAddress)
		for peer := range f.agents {
			if !slices.Contains(s.AbsentAtStart, peer) {
				lines = append(lines, f.peerLine(a.number, peer))
			}
		}
	}
	return append(lines, s.OperatorLines...)
}

// peerLine returns the line of an agent's operator file that names a peer and its address.
func (f *agentFiles) peerLine(agent, peer int) string {
	return fmt.Sprintf("election-peer %d %s", peer, f.relays.peerAddress(agent, peer, f.agents[peer].streamAddress))
}

// config returns the text of an agent's configuration, and the versions that it contains.
func (f *agentFiles) config(a *agent) (text string, versions configuredVersions) {
	versions.endpointList = f.discovery.newestVersion()
	initial := fakes.InitialState{Endpoints: f.discovery.document(a.number, versions.endpointList)}
	versions.rolloutState, initial.Rollout = f.rollout.stateJSON()
	config := fakes.AgentConfig{
		Index: a.number, Agents: f.scenario.Agents, Build: f.scenario.Endpoints.Build, MemoryMB: agentMemoryMB,
		Addresses: fakes.AgentAddresses{
			Listen:    a.listenAddress,
			Discovery: f.relays.discoveryAddress(a.number),
			Rollout:   f.relays.rolloutAddress(a.number),
		},
		Initial: initial,
		Requests: fakes.RequestSettings{
			Tenants: []fakes.Tenant{{Name: tenant, Share: 1}}, LatencyObjective: latencyObjective, Timeout: requestTimeout, HasNonIdempotent: true,
		},
	}
	if f.scenario.Transport == transportDatagrams {
		config.Peers = f.datagramPeers(a)
	}
	return config.File(), versions
}

// datagramPeers returns the addresses at which an agent reaches each peer, and the address at which it reaches all peers at once.
func (f *agentFiles) datagramPeers(a *agent) fakes.PeerAddresses {
	addresses := fakes.PeerAddresses{Listen: a.datagramAddress}
	for peer, b := range f.agents {
		address := b.datagramAddress
		if f.relays.mesh != nil {
			address = f.relays.mesh.Address(a.number, peer)
		}
		addresses.Peers = append(addresses.Peers, address)
	}
	if f.relays.mesh != nil {
		addresses.Broadcast = f.relays.mesh.BroadcastAddress(a.number)
	}
	return addresses
}
