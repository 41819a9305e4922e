package faulttest

import (
	"slices"

	"switchfork/internal/faulttest/netfault"
)

// faultRecord is a step that put a fault on links, and what that changed.
type faultRecord struct {
	step       Step
	hitsBefore map[*netfault.Link]int64 // of each link that still has the fault
	hits       int64
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

// faultedLinks are the directions that a step means.
func (r *runner) faultedLinks(f faultStep) []*netfault.Link {
	set := &linkSet{known: map[*netfault.Link]bool{}}
	healsAll := f.isHeal && f.from.Agents == nil && f.to.Agents == nil
	if healsAll {
		r.addAllLinks(set)
		return set.links
	}
	r.addLinks(set, f, f.from, f.to)
	if f.bidirectional {
		r.addLinks(set, f, f.to, f.from)
	}
	return set.links
}

func (r *runner) addAllLinks(set *linkSet) {
	for _, relay := range r.streamRelays() {
		set.add(relay.stream.Forward)
		set.add(relay.stream.Reverse)
	}
	all := r.agentNumbers(AgentSet{})
	r.addMeshLinks(set, all, all)
}

// addLinks adds the links from one party to another.
func (r *runner) addLinks(set *linkSet, f faultStep, from, to Party) {
	if f.transport != transportDatagrams {
		r.addStreamLinks(set, from, to)
	}
	isBetweenAgents := from.Agents != nil && to.Agents != nil
	if isBetweenAgents && f.transport != transportTCP && !f.streamsOnly {
		r.addMeshLinks(set, r.agentNumbers(*from.Agents), r.agentNumbers(*to.Agents))
	}
}

// addStreamLinks adds both the streams that one party opens to the other, and the way back of those that the other opens.
func (r *runner) addStreamLinks(set *linkSet, from, to Party) {
	for _, relay := range r.streamRelays() {
		if from.Agents != nil && r.agentFilter(from.Agents)(relay.agent) && r.isTarget(to, relay) {
			set.add(relay.stream.Forward)
		}
		if to.Agents != nil && r.agentFilter(to.Agents)(relay.agent) && r.isTarget(from, relay) {
			set.add(relay.stream.Reverse)
		}
	}
}

func (r *runner) addMeshLinks(set *linkSet, from, to []int) {
	if r.mesh == nil {
		return
	}
	for _, i := range from {
		for _, j := range to {
			if i != j {
				set.add(r.mesh.Link(i, j))
			}
		}
	}
}

// isTarget tells whether a relay leads to a party.
func (r *runner) isTarget(party Party, relay streamRelay) bool {
	switch {
	case party.Agents != nil:
		return relay.peer >= 0 && r.agentFilter(party.Agents)(relay.peer)
	case party.Endpoints != nil:
		return relay.endpoint >= 0 && party.Endpoints.contains(relay.endpoint, r.endpoints[relay.endpoint].Build)
	default:
		return party.Discovery && relay.targetName == serverDiscovery || party.Rollout && relay.targetName == serverRollout
	}
}

// injectFault puts a fault on links, or heals them.
func (r *runner) injectFault(s Step, f faultStep) {
	links := r.faultedLinks(f)
	if f.isHeal {
		r.closeFaultRecords(links)
		for _, link := range links {
			link.SetFault(netfault.Fault{})
		}
		return
	}
	record := &faultRecord{step: s, hitsBefore: map[*netfault.Link]int64{}}
	for _, link := range links {
		if r.options.IdleRelays {
			link.IgnoreFaults()
		}
		fault, _, _ := link.Fault()
		f.apply(&fault)
		record.hitsBefore[link] = link.FaultHits()
		link.SetFault(fault)
	}
	r.faultRecords = append(r.faultRecords, record)
}

// closeFaultRecords counts what faults have changed on links that are healed; nil means all links.
func (r *runner) closeFaultRecords(healed []*netfault.Link) {
	for _, record := range r.faultRecords {
		for link, before := range record.hitsBefore {
			if healed == nil || slices.Contains(healed, link) {
				record.hits += link.FaultHits() - before
				delete(record.hitsBefore, link)
			}
		}
	}
}
