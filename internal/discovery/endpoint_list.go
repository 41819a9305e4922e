package discovery

import (
	"slices"
	"strings"

	"switchfork/internal/agent"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
)

// listPublisher passes lists received from discovery to the event loop as endpoint updates.
type listPublisher struct {
	loop    *agent.Loop
	zones   []string
	numbers *endpointNumbers
	version uint64 // version of the last published list
}

func newListPublisher(loop *agent.Loop, zones []string) *listPublisher {
	return &listPublisher{loop: loop, zones: zones, numbers: newEndpointNumbers()}
}

// publish passes a full list or a list of changes to the event loop.
func (p *listPublisher) publish(list protocol.List) {
	p.version = list.Version
	update := p.endpointUpdate(list)
	if len(update.Endpoints) > 0 || update.Full {
		p.loop.UpdateEndpoints(update)
	}
	p.releaseGone(update)
}

// endpointUpdate converts a list to an endpoint update, sorted by host name. Invalid entries are skipped.
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

// releaseGone releases the numbers of hosts that are gone. A host that returns later gets the same number, unless its name has the same hash
// as another host's.
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
