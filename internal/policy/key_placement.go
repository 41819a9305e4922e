package policy

import (
	"math"

	"switchfork/internal/hashing"
)

const (
	// ringSalt is mixed into the hashes of ring positions. It is the same on all agents.
	ringSalt = 0x2176
	// pointsPerEndpoint is the number of points that an endpoint has on the ring.
	pointsPerEndpoint = 64
	// hotKeyShare is the largest share of an endpoint's capacity that one key should use, because the endpoint's segment holds
	// other keys too.
	hotKeyShare = 0.3
)

// keyPlacement decides the position of a request on the ring. The position depends on the request's key if endpoints are faster
// with keys that they served recently, or else on the request's ID. A hot key gets several positions. The dispatcher calls
// keyPlacement once for each request.
type keyPlacement struct {
	*sharedState
	traffic     *trafficEstimate
	keyAffinity bool
	agents      int
	usages      keyUsages
}

func newKeyPlacement(shared *sharedState, traffic *trafficEstimate, instance Instance) *keyPlacement {
	return &keyPlacement{
		sharedState: shared,
		traffic:     traffic,
		keyAffinity: instance.KeyAffinity,
		agents:      instance.Agents,
		usages:      keyUsages{recent: map[uint64]keyUsage{}},
	}
}

func (p *keyPlacement) ringPosition(req *request) uint64 {
	if p.keyAffinity && req.Key != 0 {
		// endpointPoints adds an index to the hash of an endpoint's ID. Here the index of the key's position is subtracted,
		// because a key that equals an endpoint's ID must not hit the points of that endpoint.
		return hashing.Mix64(hashing.Mix64(req.Key^ringSalt) - 1 - p.replicaOf(req.Key))
	}
	return hashing.Mix64(req.ID ^ ringSalt)
}

// replicaOf returns the index of the position that a request takes among the positions of its key. A key has one position for each
// recent request of this agent within a window. The length of the window is such that one request for the key from each agent per
// window uses hotKeyShare of an endpoint's capacity.
func (p *keyPlacement) replicaOf(key uint64) uint64 {
	window := p.traffic.meanCost * float64(p.agents) / hotKeyShare
	usage := p.usages.record(key, p.now, window)
	return (usage.arrivals - 1) % uint64(math.Ceil(usage.recentLoad))
}

// keyUsage holds how often a key was requested recently.
type keyUsage struct {
	recentLoad float64 // requests in the window, decaying linearly
	arrivals   uint64  // requests so far
	lastSeenAt Micros
}

// keyUsages holds the usage of the keys that were requested in the current window or the one before.
type keyUsages struct {
	recent   map[uint64]keyUsage
	previous map[uint64]keyUsage
	rotateAt Micros
}

// record counts one request for a key. A key that was not seen for a window has no load left, so it may be forgotten.
func (k *keyUsages) record(key uint64, now Micros, window float64) keyUsage {
	if now >= k.rotateAt {
		k.previous = k.recent
		k.recent = map[uint64]keyUsage{}
		k.rotateAt = now + Micros(window)
	}
	usage, isRecent := k.recent[key]
	if !isRecent {
		usage = k.previous[key]
	}
	usage.recentLoad = usage.recentLoad*max(0, 1-float64(now-usage.lastSeenAt)/window) + 1
	usage.lastSeenAt = now
	usage.arrivals++
	k.recent[key] = usage
	return usage
}
