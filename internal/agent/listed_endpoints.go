package agent

import (
	"slices"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// listedEndpoints holds the endpoints of the endpoint list in force: it starts those that are new and removes those that have left.
// The loop's goroutine owns it.
type listedEndpoints struct {
	pool   *upstream.Pool  // where endpoints are made; set before the first update
	events upstream.Events // what endpoints report to
	byID   map[uint32]*upstream.Endpoint
	order  []*upstream.Endpoint // in the order in which they were added
}

func newListedEndpoints(events upstream.Events) listedEndpoints {
	return listedEndpoints{events: events, byID: map[uint32]*upstream.Endpoint{}}
}

// get returns an endpoint; nil: it is not listed.
func (s *listedEndpoints) get(id uint32) *upstream.Endpoint { return s.byID[id] }

// update applies a change of the endpoint list: new endpoints are started, and all get their latest entry. Endpoints that have left
// stop by themselves once none of their attempts is in flight; one that returns is started anew.
func (s *listedEndpoints) update(list EndpointList) {
	isPresent := map[uint32]bool{}
	for i, row := range list.Endpoints {
		if row.State == policy.Gone {
			s.remove(row.ID)
			continue
		}
		isPresent[row.ID] = true
		s.updateEndpoint(row.ID, list.Entries[i])
	}
	if !list.Full {
		return
	}
	for _, endpoint := range slices.Clone(s.order) {
		if !isPresent[endpoint.ID()] {
			s.remove(endpoint.ID())
		}
	}
}

// updateEndpoint gives an endpoint its latest entry, and starts it where it is new.
func (s *listedEndpoints) updateEndpoint(id uint32, entry protocol.ListEntry) {
	endpoint := s.byID[id]
	if endpoint == nil {
		endpoint = s.pool.NewEndpoint(id, entry, s.events)
		s.byID[id] = endpoint
		s.order = append(s.order, endpoint)
	}
	endpoint.Update(entry)
}

// remove forgets an endpoint; one that is not known is ignored.
func (s *listedEndpoints) remove(id uint32) {
	endpoint := s.byID[id]
	if endpoint == nil {
		return
	}
	endpoint.Remove()
	delete(s.byID, id)
	s.order = slices.DeleteFunc(s.order, func(other *upstream.Endpoint) bool { return other == endpoint })
}

// trimIdle lets all endpoints close the connections that they do not need.
func (s *listedEndpoints) trimIdle() {
	for _, endpoint := range s.order {
		endpoint.TrimIdle()
	}
}
