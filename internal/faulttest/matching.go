package faulttest

import (
	"fmt"
	"slices"

	"switchfork/internal/faulttest/netfault"
)

const noTarget = -1

// streamRelay is a relay of streams with its ends.
type streamRelay struct {
	stream     *netfault.Stream
	agent      int
	targetName string
	peer       int               // the agent that it leads to; noTarget: none
	endpoint   int               // the endpoint that it leads to; noTarget: none
	server     *countingListener // nil: its target is a process, which keeps no record that counts
	isNewest   bool              // of those from this agent to that target
}

// streamRelays are all relays of streams, those that are not in use any more included.
func (d *deployment) streamRelays() (out []streamRelay) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for agent := range d.toDiscovery {
		out = append(out, serverRelays(d.toDiscovery[agent], agent, serverDiscovery, d.discovery.listener)...)
		out = append(out, serverRelays(d.toRollout[agent], agent, serverRollout, d.rollout.listener)...)
		for endpoint, s := range d.toEndpoint[agent] {
			out = append(out, streamRelay{
				stream: s, agent: agent, targetName: endpointName(endpoint), peer: noTarget, endpoint: endpoint,
				server: d.endpoints[endpoint].Listener().(*countingListener), isNewest: true,
			})
		}
		for peer, s := range d.toPeer[agent] {
			if s != nil {
				out = append(out, streamRelay{
					stream: s, agent: agent, targetName: fmt.Sprintf("agent %d", peer), peer: peer, endpoint: noTarget, isNewest: true,
				})
			}
		}
	}
	return out
}

func serverRelays(streams []*netfault.Stream, agent int, name string, server *countingListener) (out []streamRelay) {
	for i, s := range streams {
		out = append(out, streamRelay{
			stream: s, agent: agent, targetName: name, peer: noTarget, endpoint: noTarget, server: server, isNewest: i == len(streams)-1,
		})
	}
	return out
}

// serverRecords are what servers and deployment have recorded so far, without what only the relays' traces tell.
func (d *deployment) serverRecords() *Records {
	out := &Records{
		Agents: d.scenario.Agents, End: d.now(), HasElection: d.scenario.HasElection,
		Requests: d.clients.snapshot(), ConnsWithExtraBytes: int(d.clients.extraBytes.Load()),
		Crossings: d.clients.snapshotCrossings(),
		Arrivals:  d.recorder.snapshot(), Votes: d.rollout.snapshotVotes(),
		Slots: d.scenario.Slots, ServiceTime: toMicros(d.scenario.ServiceTime),
	}
	out.Calls = map[string][]Call{serverDiscovery: d.discovery.snapshotCalls(), serverRollout: d.rollout.snapshotCalls()}
	out.Datagrams = d.deliveredDatagrams()
	d.mu.Lock()
	defer d.mu.Unlock()
	out.EndpointStarts = slices.Clone(d.endpointStarts)
	for _, a := range d.agents {
		lifetimes := slices.Clone(a.lifetimes)
		for i := range lifetimes {
			lifetimes[i].Pauses = slices.Clone(lifetimes[i].Pauses)
		}
		out.Lifetimes = append(out.Lifetimes, lifetimes)
	}
	return out
}

// deliveredDatagrams counts the datagrams that were delivered, by sender.
func (d *deployment) deliveredDatagrams() []int64 {
	delivered := make([]int64, len(d.agents))
	if d.mesh == nil {
		return delivered
	}
	for i := range d.agents {
		for j := range d.agents {
			if i != j {
				delivered[i] += d.mesh.Link(i, j).Counters().Delivered
			}
		}
	}
	return delivered
}

// records put together what servers, deployment and relays have recorded.
func (d *deployment) records() *Records {
	out := d.serverRecords()
	out.Stages = d.rollout.snapshotStages()
	out.EndpointLists = d.discovery.snapshotVersions()
	out.ReceivedLists, out.ReceivedStages = d.configuredReceipts()
	traces, _ := d.matchTraces()
	addReceipts(out.ReceivedLists, d.discovery.snapshotDeliveries(), traces)
	addReceipts(out.ReceivedStages, d.rollout.snapshotDeliveries(), traces)
	for _, a := range out.Arrivals {
		sentAt := a.At
		if trace := traces[a.conn]; trace != nil {
			sentAt = trace.SentAt(a.StreamOffset + 1)
		}
		out.SentAt = append(out.SentAt, sentAt)
	}
	return out
}

// configuredReceipts are the versions that agents had from their configuration, by agent.
func (d *deployment) configuredReceipts() (lists, stages [][]Receipt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lists, stages = make([][]Receipt, len(d.agents)), make([][]Receipt, len(d.agents))
	for i, a := range d.agents {
		for _, v := range a.initialVersions {
			lists[i] = append(lists[i], Receipt{v.at, v.endpointList})
			stages[i] = append(stages[i], Receipt{v.at, v.rolloutState})
		}
	}
	return lists, stages
}

// addReceipts adds the versions that a server wrote, at the time at which the relay handed them to the agent.
func addReceipts(receipts [][]Receipt, deliveries []delivery, traces map[*countedConn]*netfault.Trace) {
	for _, d := range deliveries {
		at := d.at
		if trace := traces[d.conn]; trace != nil {
			at = trace.DeliveredAt(d.bytes)
		}
		if at >= 0 && d.agent >= 0 {
			receipts[d.agent] = append(receipts[d.agent], Receipt{at, d.version})
		}
	}
	for i := range receipts {
		slices.SortStableFunc(receipts[i], func(a, b Receipt) int { return int(a.At - b.At) })
	}
}

// connKey is by what a connection is known on both sides of a relay.
type connKey struct {
	server      *countingListener
	agent, port int
}

// matchTraces finds the relay's trace of each connection that a server had, and describes the traces without a connection. A port
// may serve twice in a run: the first trace of it belongs to the first connection from it.
func (d *deployment) matchTraces() (traces map[*countedConn]*netfault.Trace, unmatched []string) {
	relays := slices.DeleteFunc(d.streamRelays(), func(relay streamRelay) bool { return relay.server == nil })
	conns := connsByKey(relays)
	traces = map[*countedConn]*netfault.Trace{}
	for _, relay := range relays {
		for _, trace := range relay.stream.Traces() {
			if trace.IsFull() {
				unmatched = append(unmatched, fmt.Sprintf("agent %d to %s: %v", relay.agent, relay.targetName, netfault.ErrTraceFull))
			}
			key := connKey{relay.server, trace.Party, trace.ServerPort()}
			if candidates := conns[key]; len(candidates) > 0 {
				traces[candidates[0]] = trace
				conns[key] = candidates[1:]
				continue
			}
			if side := trace.ServerSide(); side.Delivered > 0 && !side.WasReset {
				unmatched = append(unmatched, fmt.Sprintf("agent %d to %s: the relay delivered %d bytes on a connection that the far end never had",
					relay.agent, relay.targetName, side.Delivered))
			}
		}
	}
	return traces, unmatched
}

// connsByKey are the servers' connections. All relays of an agent to one server lead to the same listener, so only the newest counts.
func connsByKey(relays []streamRelay) map[connKey][]*countedConn {
	conns := map[connKey][]*countedConn{}
	for _, relay := range relays {
		if !relay.isNewest {
			continue
		}
		for _, c := range relay.server.snapshot() {
			if c.agent == relay.agent {
				key := connKey{relay.server, c.agent, c.port}
				conns[key] = append(conns[key], c)
			}
		}
	}
	return conns
}

// mismatches compare what the relays counted on their server sides with what the servers counted, connection by connection.
func (d *deployment) mismatches() []string {
	traces, out := d.matchTraces()
	for conn, trace := range traces {
		side := trace.ServerSide()
		if !conn.matches(side) {
			out = append(out, fmt.Sprintf("agent %d, port %d: the relay delivered %d bytes and got %d, the far end read %d and wrote %d",
				conn.agent, conn.port, side.Delivered, side.Received, conn.readBytes.Load(), conn.writtenBytes.Load()))
		}
	}
	slices.Sort(out)
	return out
}

// matches tells whether both sides agree on a connection. After a reset a side may have read less than the other wrote, and what a
// server wrote after the other side had closed may be lost.
func (c *countedConn) matches(side netfault.ServerSide) bool {
	read, written := c.readBytes.Load(), c.writtenBytes.Load()
	if read > side.Delivered || written < side.Received {
		return false
	}
	if side.WasReset || c.wasReset.Load() {
		return true
	}
	certainlySent := written
	if atEOF := c.writtenAtEOF.Load(); atEOF > 0 {
		certainlySent = atEOF - 1
	}
	return read == side.Delivered && side.Received >= certainlySent
}
