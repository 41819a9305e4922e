package faulttest

import (
	"slices"

	"switchfork/internal/faulttest/netfault"
)

// serverRecords returns what the servers, the clients and the deployment have recorded so far, without what only the relays' traces show.
func (d *deployment) serverRecords() *Records {
	clients := d.clients.records
	out := &Records{
		Agents: d.scenario.Agents, End: d.now(), HasElection: d.scenario.Election.IsOn,
		Requests: clients.snapshotRequests(), ConnsWithExtraBytes: int(clients.connsWithExtraBytes.Load()),
		CloseRaces: clients.snapshotCloseRaces(),
		Arrivals:   d.endpoints.recorder.snapshot(), Votes: d.rollout.snapshotVotes(),
		Slots: d.scenario.Endpoints.Slots, ServiceTime: toMicros(d.scenario.Endpoints.ServiceTime),
		Datagrams: d.relays.deliveredDatagrams(), EndpointStarts: d.endpoints.snapshotStarts(),
	}
	out.Calls = map[string][]Call{
		callsKey(serverDiscovery): d.discovery.snapshotCalls(),
		callsKey(serverRollout):   d.rollout.snapshotCalls(),
	}
	for _, a := range d.agents.all {
		out.Lifetimes = append(out.Lifetimes, a.snapshotLifetimes())
	}
	return out
}

// records returns everything that was recorded, including what only the relays' traces show.
func (d *deployment) records() *Records {
	out := d.serverRecords()
	out.Stages = d.rollout.snapshotStages()
	out.EndpointLists = d.discovery.snapshotVersions()
	traces, _ := d.relays.matchTraces()
	for _, a := range d.agents.all {
		lists, stages := a.configuredReceipts()
		out.ReceivedLists = append(out.ReceivedLists, lists)
		out.ReceivedStages = append(out.ReceivedStages, stages)
	}
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

// configuredReceipts returns the versions that the agent received with its configuration, one of each kind for each start.
func (a *agent) configuredReceipts() (lists, stages []Receipt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range a.initialVersions {
		lists = append(lists, Receipt{v.at, v.endpointList})
		stages = append(stages, Receipt{v.at, v.rolloutState})
	}
	return lists, stages
}

// addReceipts adds the versions that a server wrote, with the time at which the relay delivered them to the agent.
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
