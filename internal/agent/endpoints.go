package agent

import (
	"slices"

	"switchfork/internal/policy"
	"switchfork/internal/upstream"
)

// updateEndpoints applies a change of the endpoint list before the policy gets it: new endpoints are started, and all get their
// latest entry. Endpoints that have left stop by themselves once none of their attempts is in flight; one that returns is started anew.
func (l *Loop) updateEndpoints(list EndpointList) {
	isPresent := map[uint32]bool{}
	for i, row := range list.Endpoints {
		endpoint := l.endpoints[row.ID]
		if row.State == policy.Gone {
			l.removeEndpoint(endpoint)
			continue
		}
		isPresent[row.ID] = true
		if endpoint == nil {
			endpoint = l.newEndpoint(row.ID, list.Entries[i])
			l.endpoints[row.ID] = endpoint
			l.endpointOrder = append(l.endpointOrder, endpoint)
		}
		endpoint.Update(list.Entries[i])
	}
	if list.Full {
		for _, endpoint := range slices.Clone(l.endpointOrder) {
			if !isPresent[endpoint.ID()] {
				l.removeEndpoint(endpoint)
			}
		}
	}
	l.handle(list.EndpointUpdate)
}

// removeEndpoint forgets an endpoint; nil, one that is not known, is ignored.
func (l *Loop) removeEndpoint(endpoint *upstream.Endpoint) {
	if endpoint == nil {
		return
	}
	endpoint.Remove()
	delete(l.endpoints, endpoint.ID())
	l.endpointOrder = slices.DeleteFunc(l.endpointOrder, func(other *upstream.Endpoint) bool { return other == endpoint })
}
