package connlimit

import "sync"

// Budget holds the descriptors for connections, to clients and appliances together, so that neither can use up what
// the other must have. Connections to appliances get what clients leave; clients leave them two fifths.
type Budget struct {
	mu                                sync.Mutex
	limit, clientConns, upstreamConns int
	freed                             chan struct{} // holds a token after one was given back
}

func NewBudget(most int) *Budget { return &Budget{limit: most, freed: make(chan struct{}, 1)} }

// clientShare is the most that clients get: they hold a third at most for requests, each of those has one submission at
// most, and what is left beside that lets others in, be it to be turned away.
const clientShare = 0.6

// reservedShare is the part of the clients' places that is kept from open txns, so that whoever waits at the door is let in
// and hears at once that there is no room. Without it all fill with txns that the module holds, and those at the door
// wait unread until their time is over.
const reservedShare = 0.125

// MaxRequests is the number that may be open.
func (b *Budget) MaxRequests() int { return int((1 - reservedShare) * clientShare * float64(b.limit)) }

// idleShare is the most that clients' idle connections may hold, a few times what traffic needs between two requests.
// It guards against clients that ask once and keep the connection: they may have no place left to ask from while each
// stands for its idle time. It costs a handshake where clients come back in turn, the one idle longest first.
const idleShare = 0.1

func (b *Budget) MaxIdleClients() int { return max(1, int(idleShare*float64(b.limit))) }

// AcquireUpstream books a connection to an appliance, if there is one left.
func (b *Budget) AcquireUpstream() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.clientConns+b.upstreamConns >= b.limit {
		return false
	}
	b.upstreamConns++
	return true
}

// AcquireClient books a client's connection, if there is one left for clients.
func (b *Budget) AcquireClient() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.clientConns+b.upstreamConns >= b.limit || b.clientConns >= max(1, int(clientShare*float64(b.limit))) {
		return false
	}
	b.clientConns++
	return true
}

// Freed holds a token after a connection was given back.
func (b *Budget) Freed() <-chan struct{} { return b.freed }

// Release gives connections back.
func (b *Budget) Release(clients, addresses int) {
	b.mu.Lock()
	b.clientConns, b.upstreamConns = b.clientConns-clients, b.upstreamConns-addresses
	b.mu.Unlock()
	select {
	case b.freed <- struct{}{}:
	default:
	}
}

// InUse returns how many connections are held.
func (b *Budget) InUse() (clients, upstreams int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clientConns, b.upstreamConns
}
