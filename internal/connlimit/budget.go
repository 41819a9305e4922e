package connlimit

import "sync"

const (
	// clientShare is the largest part of the limit that connections to clients may hold. Connections to endpoints may use the rest, at
	// least two fifths. Clients with an open request hold at most a third, and each of these requests has at most one attempt in flight. The
	// other connections to clients are for further clients, if only to reject their requests.
	clientShare = 0.6

	// reservedShare is the part of the clients' connections that is kept free of open requests, so that a client that waits to connect
	// is accepted and is told at once that the agent is full. Without this part, all connections would carry requests that the router
	// holds, and requests on connections in the kernel's accept queue would not be read until their deadlines.
	reservedShare = 0.125

	// freeShare is the part of the limit that is kept free for connections to endpoints. When less than this part is free,
	// connections to clients are not kept open between requests.
	freeShare = 0.0625
)

// Budget counts the descriptors in use by connections to clients and to endpoints, and bounds their sum.
type Budget struct {
	mu            sync.Mutex
	limit         int
	clientLimit   int // the largest number of connections to clients; 0: their share of limit
	clientConns   int
	upstreamConns int
	freed         chan struct{} // holds a token after a descriptor was released
}

// NewBudget returns a budget of limit descriptors, none of which is in use.
func NewBudget(limit int) *Budget {
	return &Budget{limit: limit, freed: make(chan struct{}, 1)}
}

// LimitClients lowers the number of connections that clients may have. It has to be called before the budget is used.
func (b *Budget) LimitClients(limit int) { b.clientLimit = limit }

// MaxRequests returns how many requests may be open.
func (b *Budget) MaxRequests() int {
	share := clientShare * float64(b.limit)
	if b.clientLimit > 0 {
		share = min(share, float64(b.clientLimit))
	}
	return int((1 - reservedShare) * share)
}

// IsShort reports whether so few descriptors are free that connections to clients should not be kept open between requests.
func (b *Budget) IsShort() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.limit - b.clientConns - b.upstreamConns
	return float64(free) < freeShare*float64(b.limit)
}

// MaxClients returns how many connections clients may have.
func (b *Budget) MaxClients() int {
	share := int(clientShare * float64(b.limit))
	if b.clientLimit > 0 {
		share = min(share, b.clientLimit)
	}
	return max(1, share)
}

// isExhausted reports whether no descriptor is free. The caller holds mu.
func (b *Budget) isExhausted() bool { return b.clientConns+b.upstreamConns >= b.limit }

// AcquireUpstream takes a descriptor for a connection to an endpoint, and reports whether one was free.
func (b *Budget) AcquireUpstream() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isExhausted() {
		return false
	}
	b.upstreamConns++
	return true
}

// AcquireClient takes a descriptor for a connection to a client, and reports whether one was free for clients.
func (b *Budget) AcquireClient() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isExhausted() || b.clientConns >= b.MaxClients() {
		return false
	}
	b.clientConns++
	return true
}

// Freed returns a channel that holds a token after a descriptor was released.
func (b *Budget) Freed() <-chan struct{} { return b.freed }

// ReleaseClient releases the descriptor of a closed connection to a client.
func (b *Budget) ReleaseClient() { b.release(&b.clientConns) }

// ReleaseUpstream releases the descriptor of a closed connection to an endpoint.
func (b *Budget) ReleaseUpstream() { b.release(&b.upstreamConns) }

func (b *Budget) release(inUse *int) {
	b.mu.Lock()
	*inUse--
	b.mu.Unlock()
	select {
	case b.freed <- struct{}{}:
	default:
	}
}

// InUse returns the numbers of descriptors that are held by client connections and by endpoint connections.
func (b *Budget) InUse() (clients, upstreams int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clientConns, b.upstreamConns
}
