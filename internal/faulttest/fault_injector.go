package faulttest

import (
	"slices"

	"switchfork/internal/faulttest/netfault"
)

// faultRecord is a step that injected a fault into links, and how often the fault took effect.
type faultRecord struct {
	step       Step
	hitsBefore map[*netfault.Link]int64 // hits before the injection, for each link that still has the fault
	hits       int64                    // hits since the injection, on links that no longer have the fault
}

// faultInjector injects the faults of a scenario into links and counts how often they take effect. Only the goroutine that runs the steps
// uses it.
type faultInjector struct {
	bindings     *bindings
	relays       *relayNetwork
	endpoints    *endpointGroup
	ignoreFaults bool // links ignore the faults
	records      []*faultRecord
}

// linkSet collects links, each once, in the order in which they were added.
type linkSet struct {
	links []*netfault.Link
	known map[*netfault.Link]bool
}

func (s *linkSet) add(l *netfault.Link) {
	if !s.known[l] {
		s.known[l] = true
		s.links = append(s.links, l)
	}
}

// faultedLinks returns the links that a step applies to. A link is one direction between two parties.
func (j *faultInjector) faultedLinks(f faultStep) []*netfault.Link {
	set := &linkSet{known: map[*netfault.Link]bool{}}
	healsAll := f.isHeal && f.from.Agents == nil && f.to.Agents == nil
	if healsAll {
		j.addAllLinks(set)
		return set.links
	}
	j.addLinks(set, f, f.from, f.to)
	if f.bidirectional {
		j.addLinks(set, f, f.to, f.from)
	}
	return set.links
}

func (j *faultInjector) addAllLinks(set *linkSet) {
	for _, relay := range j.relays.streamRelays() {
		set.add(relay.stream.Forward)
		set.add(relay.stream.Reverse)
	}
	all := j.bindings.agentNumbers(AgentSet{})
	j.addMeshLinks(set, all, all)
}

// addLinks adds the links from one party to another.
func (j *faultInjector) addLinks(set *linkSet, f faultStep, from, to Party) {
	if f.transport != transportDatagrams {
		j.addStreamLinks(set, from, to)
	}
	isBetweenAgents := from.Agents != nil && to.Agents != nil
	if isBetweenAgents && f.transport != transportTCP && !f.streamsOnly {
		j.addMeshLinks(set, j.bindings.agentNumbers(*from.Agents), j.bindings.agentNumbers(*to.Agents))
	}
}

// addStreamLinks adds the forward links of the streams that from opens to to, and the reverse links of the streams that to opens to from.
func (j *faultInjector) addStreamLinks(set *linkSet, from, to Party) {
	for _, relay := range j.relays.streamRelays() {
		if from.Agents != nil && j.bindings.agentFilter(from.Agents)(relay.agent) && j.isTarget(to, relay) {
			set.add(relay.stream.Forward)
		}
		if to.Agents != nil && j.bindings.agentFilter(to.Agents)(relay.agent) && j.isTarget(from, relay) {
			set.add(relay.stream.Reverse)
		}
	}
}

func (j *faultInjector) addMeshLinks(set *linkSet, from, to []int) {
	if j.relays.mesh == nil {
		return
	}
	for _, sender := range from {
		for _, receiver := range to {
			if sender != receiver {
				set.add(j.relays.mesh.Link(sender, receiver))
			}
		}
	}
}

// isTarget reports whether a relay leads to a party.
func (j *faultInjector) isTarget(party Party, relay streamRelay) bool {
	switch {
	case party.Agents != nil:
		return relay.peer >= 0 && j.bindings.agentFilter(party.Agents)(relay.peer)
	case party.Endpoints != nil:
		return relay.endpoint >= 0 && slices.Contains(j.endpoints.numbers(*party.Endpoints), relay.endpoint)
	case party.Discovery:
		return relay.targetName == serverDiscovery
	default:
		return party.Rollout && relay.targetName == serverRollout
	}
}

// inject injects a fault into links, or heals them.
func (j *faultInjector) inject(s Step, f faultStep) {
	links := j.faultedLinks(f)
	if f.isHeal {
		j.closeRecords(links)
		for _, link := range links {
			link.SetFault(netfault.Fault{})
		}
		return
	}
	record := &faultRecord{step: s, hitsBefore: map[*netfault.Link]int64{}}
	for _, link := range links {
		if j.ignoreFaults {
			link.IgnoreFaults()
		}
		fault, _, _ := link.Fault()
		f.apply(&fault)
		record.hitsBefore[link] = link.FaultHits()
		link.SetFault(fault)
	}
	j.records = append(j.records, record)
}

// closeRecords adds to the records the hits on links that are about to be healed, and removes these links from the records. If healed is
// nil, it does so for all links.
func (j *faultInjector) closeRecords(healed []*netfault.Link) {
	for _, record := range j.records {
		for link, before := range record.hitsBefore {
			if healed == nil || slices.Contains(healed, link) {
				record.hits += link.FaultHits() - before
				delete(record.hitsBefore, link)
			}
		}
	}
}
