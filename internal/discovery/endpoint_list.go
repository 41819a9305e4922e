package discovery

import (
	"slices"
	"strings"

	"switchfork/internal/agent"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
)

// listPublisher hands lists of discovery to the event loop as endpoint updates.
type listPublisher struct {
	loop    *agent.Loop
	zones   []string
	numbers *endpointNumbers
	version uint64 // of the list in force
}

func newListPublisher(loop *agent.Loop, zones []string) *listPublisher {
	return &listPublisher{loop: loop, zones: zones, numbers: newEndpointNumbers()}
}

// publish puts a list in force, full or of changes.
func (p *listPublisher) publish(list protocol.List) {
	p.version = list.Version
	update := p.endpointUpdate(list)
	if len(update.Endpoints) > 0 || update.Full {
		p.loop.UpdateEndpoints(update)
	}
	p.releaseGone(update)
}

// endpointUpdate converts a list, in the order of its hosts' names. Entries that can't be read are left out.
func (p *listPublisher) endpointUpdate(list protocol.List) agent.EndpointList {
	slices.SortStableFunc(list.Entries, func(a, b protocol.ListEntry) int { return strings.Compare(a.Host, b.Host) })
	update := agent.EndpointList{EndpointUpdate: policy.EndpointUpdate{Full: list.IsFull}}
	for _, entry := range list.Entries {
		endpoint, err := entry.Endpoint(p.zones)
		if err != nil {
			ratelog.Warn("list entry", "list entry skipped", "reason", err)
			continue
		}
		endpoint.ID = p.numbers.assign(entry.Host)
		update.Endpoints = append(update.Endpoints, endpoint)
		update.Entries = append(update.Entries, entry)
	}
	return update
}

// releaseGone releases the numbers of hosts that are gone. A host that returns gets the same one, except where two hosts' names have the
// same hash.
func (p *listPublisher) releaseGone(update agent.EndpointList) {
	present := map[string]bool{}
	for i, endpoint := range update.Endpoints {
		host := update.Entries[i].Host
		present[host] = endpoint.State != policy.Gone
		if endpoint.State == policy.Gone {
			p.numbers.release(host)
		}
	}
	if update.Full {
		p.numbers.releaseAbsent(present)
	}
}
