package agent

import (
	"slices"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// endpointRegistry holds the endpoints of the current endpoint list. It starts new endpoints and removes those that have left the list. The
// loop's goroutine owns it.
type endpointRegistry struct {
	pool   *upstream.Pool  // creates the endpoints; set before the first update
	events upstream.Events // receives the endpoints' results
	byID   map[uint32]*upstream.Endpoint
	order  []*upstream.Endpoint // in the order in which they were added
}

func newEndpointRegistry(events upstream.Events) endpointRegistry {
	return endpointRegistry{events: events, byID: map[uint32]*upstream.Endpoint{}}
}

// get returns an endpoint, or nil if it is not listed.
func (r *endpointRegistry) get(id uint32) *upstream.Endpoint { return r.byID[id] }

// update applies a change of the endpoint list. It starts new endpoints and gives all listed endpoints their latest entry. An endpoint that
// has left the list stops once none of its attempts is in flight. If its ID is listed again, a new endpoint is started.
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

// updateEndpoint gives an endpoint its latest entry and starts it if it is new.
func (r *endpointRegistry) updateEndpoint(id uint32, entry protocol.ListEntry) {
	endpoint := r.byID[id]
	if endpoint == nil {
		endpoint = r.pool.NewEndpoint(id, entry, r.events)
		r.byID[id] = endpoint
		r.order = append(r.order, endpoint)
	}
	endpoint.Update(entry)
}

// remove stops an endpoint and removes it from the registry. An unknown endpoint is ignored.
func (r *endpointRegistry) remove(id uint32) {
	endpoint := r.byID[id]
	if endpoint == nil {
		return
	}
	endpoint.Remove()
	delete(r.byID, id)
	r.order = slices.DeleteFunc(r.order, func(other *upstream.Endpoint) bool { return other == endpoint })
}

// trimIdle makes all endpoints close the connections that have been idle for at least upstream.TrimIdleAfter.
func (r *endpointRegistry) trimIdle() {
	for _, endpoint := range r.order {
		endpoint.TrimIdle()
	}
}
