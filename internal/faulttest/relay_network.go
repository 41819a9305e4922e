package faulttest

import (
	"context"
	"fmt"
	"sync"

	"switchfork/internal/faulttest/netfault"
)

// Parts of the seeds of the relays' random sources. The scenario's seed is multiplied by a factor for each kind of relay. Successive agents
// are a step apart, and each server has a salt. The random sequences of the relays thus differ, except that the relays of one agent to a moved
// discovery and to a moved rollout controller can get the same seed.
const (
	meshSeedFactor     = 7919
	serverSeedFactor   = 6151
	serverSeedStep     = 64
	peerSeedFactor     = 104_729
	peerSeedStep       = 256
	endpointSeedFactor = 15_485_863
	endpointSeedStep   = 1024
	discoverySeedSalt  = 1
	rolloutSeedSalt    = 2
	movedSeedSalt      = 3
	movedSeedStep      = 32
)

// relayNetwork manages the relays between agents, and from agents to the servers that they call. It may be used from several goroutines.
type relayNetwork struct {
	seed     int64
	now      netfault.Clock
	agents   int
	isDirect bool           // agents connect without relays, to measure what relays cost
	mesh     *netfault.Mesh // nil: agents exchange no datagrams

	mu          sync.Mutex
	endpoints   []*countingListener
	toEndpoint  [][]*netfault.Stream // by agent and endpoint
	toPeer      [][]*netfault.Stream // by agent and peer; nil where the transport between agents is not TCP
	toDiscovery []serverRelays       // by agent
	toRollout   []serverRelays       // by agent
}

// serverRelays are an agent's relays to discovery or to the rollout controller. The agent uses the newest one. Moving the server
// adds one.
type serverRelays struct {
	server  *countingListener
	streams []*netfault.Stream
}

func newRelayNetwork(s *Scenario, now netfault.Clock, isDirect bool) *relayNetwork {
	return &relayNetwork{
		seed: s.Seed, now: now, agents: s.Agents, isDirect: isDirect,
		toEndpoint: make([][]*netfault.Stream, s.Agents), toPeer: make([][]*netfault.Stream, s.Agents),
		toDiscovery: make([]serverRelays, s.Agents), toRollout: make([]serverRelays, s.Agents),
	}
}

// startMesh starts the datagram relays between agents.
func (n *relayNetwork) startMesh(ctx context.Context, addresses []string) (err error) {
	if n.isDirect {
		return nil
	}
	n.mesh, err = netfault.NewMesh(ctx, addresses, n.seed*meshSeedFactor, n.now)
	return err
}

// startPeerRelays starts each agent's relays to the stream addresses of its peers.
func (n *relayNetwork) startPeerRelays(ctx context.Context, addresses []string) error {
	if n.isDirect {
		return nil
	}
	for agent := range n.agents {
		n.toPeer[agent] = make([]*netfault.Stream, n.agents)
		for peer := range n.agents {
			if peer == agent {
				continue
			}
			seed := n.seed*peerSeedFactor + int64(agent)*peerSeedStep + int64(peer)
			s, err := netfault.NewStream(ctx, agent, addresses[peer], seed, n.now)
			if err != nil {
				return err
			}
			n.toPeer[agent][peer] = s
		}
	}
	return nil
}

// startServerRelays starts each agent's relays to discovery and to the rollout controller.
func (n *relayNetwork) startServerRelays(ctx context.Context, discovery, rollout *countingListener) error {
	for agent := range n.agents {
		n.toDiscovery[agent].server, n.toRollout[agent].server = discovery, rollout
		if err := n.addServerRelay(ctx, agent, &n.toDiscovery[agent], discoverySeedSalt); err != nil {
			return err
		}
		if err := n.addServerRelay(ctx, agent, &n.toRollout[agent], rolloutSeedSalt); err != nil {
			return err
		}
	}
	return nil
}

// addServerRelay gives an agent one more relay to a server. The agent reaches the server through its newest relay.
func (n *relayNetwork) addServerRelay(ctx context.Context, agent int, relays *serverRelays, salt int64) error {
	if n.isDirect {
		return nil
	}
	seed := n.seed*serverSeedFactor + int64(agent)*serverSeedStep + salt + int64(len(relays.streams))*movedSeedStep
	s, err := netfault.NewStream(ctx, agent, relays.server.Addr().String(), seed, n.now)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	relays.streams = append(relays.streams, s)
	return nil
}

// moveServer gives discovery or the rollout controller a new address for one agent.
func (n *relayNetwork) moveServer(ctx context.Context, agent int, server string) error {
	relays := &n.toDiscovery[agent]
	if server == serverRollout {
		relays = &n.toRollout[agent]
	}
	return n.addServerRelay(ctx, agent, relays, movedSeedSalt)
}

// addEndpoint starts a relay to an endpoint for each agent.
func (n *relayNetwork) addEndpoint(ctx context.Context, listener *countingListener, number int) error {
	relays, err := n.startEndpointRelays(ctx, listener.Addr().String(), number)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints = append(n.endpoints, listener)
	for agent, relay := range relays {
		n.toEndpoint[agent] = append(n.toEndpoint[agent], relay)
	}
	return nil
}

func (n *relayNetwork) startEndpointRelays(ctx context.Context, target string, endpoint int) (relays []*netfault.Stream, err error) {
	if n.isDirect {
		return nil, nil
	}
	for agent := range n.agents {
		seed := n.seed*endpointSeedFactor + int64(agent)*endpointSeedStep + int64(endpoint)
		s, err := netfault.NewStream(ctx, agent, target, seed, n.now)
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

// discoveryAddress returns the address at which an agent currently reaches discovery.
func (n *relayNetwork) discoveryAddress(agent int) string {
	return n.serverAddress(&n.toDiscovery[agent])
}

// rolloutAddress returns the address at which an agent currently reaches the rollout controller.
func (n *relayNetwork) rolloutAddress(agent int) string { return n.serverAddress(&n.toRollout[agent]) }

func (n *relayNetwork) serverAddress(relays *serverRelays) string {
	if n.isDirect {
		return relays.server.Addr().String()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return relays.streams[len(relays.streams)-1].Addr()
}

// endpointAddress returns the address at which an agent reaches an endpoint.
func (n *relayNetwork) endpointAddress(agent, endpoint int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isDirect || agent < 0 {
		return n.endpoints[endpoint].Addr().String()
	}
	return n.toEndpoint[agent][endpoint].Addr()
}

// peerAddress returns the address at which an agent reaches the streams of a peer that listens at listenAddress.
func (n *relayNetwork) peerAddress(agent, peer int, listenAddress string) string {
	if peer == agent || n.isDirect {
		return listenAddress
	}
	return n.toPeer[agent][peer].Addr()
}

// deliveredDatagrams returns the number of datagrams that were delivered, by sender.
func (n *relayNetwork) deliveredDatagrams() []int64 {
	delivered := make([]int64, n.agents)
	if n.mesh == nil {
		return delivered
	}
	for i := range n.agents {
		for j := range n.agents {
			if i != j {
				delivered[i] += n.mesh.Link(i, j).Counters().Delivered
			}
		}
	}
	return delivered
}

// close stops all relays.
func (n *relayNetwork) close() {
	for _, relay := range n.streamRelays() {
		relay.stream.Close()
	}
	if n.mesh != nil {
		n.mesh.Close()
	}
}

const noTarget = -1

// streamRelay is a relay of streams, with the agent that dials it and the target that it leads to.
type streamRelay struct {
	stream     *netfault.Stream
	agent      int
	targetName string
	peer       int               // the agent that it leads to, or noTarget
	endpoint   int               // the endpoint that it leads to, or noTarget
	server     *countingListener // nil: its target is an agent, whose own records are not used
	isNewest   bool              // it is the newest relay from this agent to this target
}

// streamRelays returns all relays of streams, including those that are no longer in use.
func (n *relayNetwork) streamRelays() (out []streamRelay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for agent := range n.agents {
		out = append(out, n.toDiscovery[agent].list(agent, serverDiscovery)...)
		out = append(out, n.toRollout[agent].list(agent, serverRollout)...)
		for endpoint, s := range n.toEndpoint[agent] {
			out = append(out, streamRelay{
				stream: s, agent: agent, targetName: endpointName(endpoint), peer: noTarget, endpoint: endpoint,
				server: n.endpoints[endpoint], isNewest: true,
			})
		}
		for peer, s := range n.toPeer[agent] {
			if s != nil {
				out = append(out, streamRelay{
					stream: s, agent: agent, targetName: fmt.Sprintf("agent %d", peer), peer: peer, endpoint: noTarget, isNewest: true,
				})
			}
		}
	}
	return out
}

// list returns an agent's relays to a server. name is the server's name.
func (r *serverRelays) list(agent int, name string) (out []streamRelay) {
	for i, s := range r.streams {
		out = append(out, streamRelay{
			stream: s, agent: agent, targetName: name, peer: noTarget, endpoint: noTarget, server: r.server, isNewest: i == len(r.streams)-1,
		})
	}
	return out
}
