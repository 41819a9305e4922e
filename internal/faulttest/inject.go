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
func (p *runner) faultedLinks(f faultStep) []*netfault.Link {
	set := &linkSet{known: map[*netfault.Link]bool{}}
	healsAll := f.isHeal && f.from.Agents == nil && f.to.Agents == nil
	if healsAll {
		p.addAllLinks(set)
		return set.links
	}
	p.addLinks(set, f, f.from, f.to)
	if f.bidirectional {
		p.addLinks(set, f, f.to, f.from)
	}
	return set.links
}

func (p *runner) addAllLinks(set *linkSet) {
	for _, relay := range p.streamRelays() {
		set.add(relay.stream.Forward)
		set.add(relay.stream.Reverse)
	}
	all := p.agentNumbers(AgentSet{})
	p.addMeshLinks(set, all, all)
}

// addLinks adds the links from one party to another.
func (p *runner) addLinks(set *linkSet, f faultStep, from, to Party) {
	if f.transport != transportDatagrams {
		p.addStreamLinks(set, from, to)
	}
	isBetweenAgents := from.Agents != nil && to.Agents != nil
	if isBetweenAgents && f.transport != transportTCP && !f.streamsOnly {
		p.addMeshLinks(set, p.agentNumbers(*from.Agents), p.agentNumbers(*to.Agents))
	}
}

// addStreamLinks adds both the streams that one party opens to the other, and the way back of those that the other opens.
func (p *runner) addStreamLinks(set *linkSet, from, to Party) {
	for _, relay := range p.streamRelays() {
		if from.Agents != nil && p.agentFilter(from.Agents)(relay.agent) && p.isTarget(to, relay) {
			set.add(relay.stream.Forward)
		}
		if to.Agents != nil && p.agentFilter(to.Agents)(relay.agent) && p.isTarget(from, relay) {
			set.add(relay.stream.Reverse)
		}
	}
}

func (p *runner) addMeshLinks(set *linkSet, from, to []int) {
	if p.mesh == nil {
		return
	}
	for _, i := range from {
		for _, j := range to {
			if i != j {
				set.add(p.mesh.Link(i, j))
			}
		}
	}
}

// isTarget tells whether a relay leads to a party.
func (p *runner) isTarget(party Party, relay streamRelay) bool {
	switch {
	case party.Agents != nil:
		return relay.peer >= 0 && p.agentFilter(party.Agents)(relay.peer)
	case party.Endpoints != nil:
		return relay.endpoint >= 0 && party.Endpoints.contains(relay.endpoint, p.endpoints[relay.endpoint].Build)
	default:
		return party.Discovery && relay.targetName == serverDiscovery || party.Rollout && relay.targetName == serverRollout
	}
}

// injectFault puts a fault on links, or heals them.
func (p *runner) injectFault(s Step, f faultStep) {
	links := p.faultedLinks(f)
	if f.isHeal {
		p.closeFaultRecords(links)
		for _, link := range links {
			link.SetFault(netfault.Fault{})
		}
		return
	}
	record := &faultRecord{step: s, hitsBefore: map[*netfault.Link]int64{}}
	for _, link := range links {
		if p.options.IdleRelays {
			link.IgnoreFaults()
		}
		fault, _, _ := link.Fault()
		f.apply(&fault)
		record.hitsBefore[link] = link.FaultHits()
		link.SetFault(fault)
	}
	p.faultRecords = append(p.faultRecords, record)
}

// closeFaultRecords counts what faults have changed on links that are healed; nil means all links.
func (p *runner) closeFaultRecords(healed []*netfault.Link) {
	for _, record := range p.faultRecords {
		for link, before := range record.hitsBefore {
			if healed == nil || slices.Contains(healed, link) {
				record.hits += link.FaultHits() - before
				delete(record.hitsBefore, link)
			}
		}
	}
}
