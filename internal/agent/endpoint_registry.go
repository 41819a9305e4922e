package agent

import (
	"slices"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// endpointRegistry holds the endpoints of the endpoint list in force: it starts those that are new and removes those that have left.
// The loop's goroutine owns it.
type endpointRegistry struct {
	pool   *upstream.Pool  // where endpoints are made; set before the first update
	events upstream.Events // what endpoints report to
	byID   map[uint32]*upstream.Endpoint
	order  []*upstream.Endpoint // in the order in which they were added
}

func newEndpointRegistry(events upstream.Events) endpointRegistry {
	return endpointRegistry{events: events, byID: map[uint32]*upstream.Endpoint{}}
}

// get returns an endpoint; nil: it is not listed.
func (r *endpointRegistry) get(id uint32) *upstream.Endpoint { return r.byID[id] }

// update applies a change of the endpoint list: new endpoints are started, and all get their latest entry. Endpoints that have left
// stop by themselves once none of their attempts is in flight; one that returns is started anew.
func (r *endpointRegistry) update(list EndpointList) {
	isPresent := map[uint32]bool{}
	for i, row := range list.Endpoints {
		if row.State == policy.Gone {
			r.remove(row.ID)
			continue
		}
		isPresent[row.ID] = true
		r.updateEndpoint(row.ID, list.Entries[i])
	}
	if !list.Full {
		return
	}
	for _, endpoint := range slices.Clone(r.order) {
		if !isPresent[endpoint.ID()] {
			r.remove(endpoint.ID())
		}
	}
}

// updateEndpoint gives an endpoint its latest entry, and starts it where it is new.
func (r *endpointRegistry) updateEndpoint(id uint32, entry protocol.ListEntry) {
	endpoint := r.byID[id]
	if endpoint == nil {
		endpoint = r.pool.NewEndpoint(id, entry, r.events)
		r.byID[id] = endpoint
		r.order = append(r.order, endpoint)
	}
	endpoint.Update(entry)
}

// remove forgets an endpoint; one that is not known is ignored.
func (r *endpointRegistry) remove(id uint32) {
	endpoint := r.byID[id]
	if endpoint == nil {
		return
	}
	endpoint.Remove()
	delete(r.byID, id)
	r.order = slices.DeleteFunc(r.order, func(other *upstream.Endpoint) bool { return other == endpoint })
}

// trimIdle lets all endpoints close the connections that they do not need.
func (r *endpointRegistry) trimIdle() {
	for _, endpoint := range r.order {
		endpoint.TrimIdle()
	}
}
