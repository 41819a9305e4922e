package policy

import (
	"math"

	"switchfork/internal/hashing"
)

const (
	// ringSalt is the same on all agents.
	ringSalt = 0x2176
	// pointsPerEndpoint on the ring.
	pointsPerEndpoint = 64
	// hotKeyShare of an endpoint is the most that one key should fill, as its segment carries other keys too.
	hotKeyShare = 0.3
)

// keyPlacement decides where on the ring a request stands: by its key where endpoints serve the keys that they know faster, or
// else by its id. A hot key gets several places. The dispatcher calls it once for each request.
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
		return hashing.Mix64(hashing.Mix64(req.Key^ringSalt) - 1 - p.replicaOf(req.Key)) // never an endpoint's own point
	}
	return hashing.Mix64(req.ID ^ ringSalt)
}

// replicaOf is which of its key's places a request takes, from 0 on. A key gets a place for each request in the time in which
// all agents, alike, fill hotKeyShare of an endpoint.
func (p *keyPlacement) replicaOf(key uint64) uint64 {
	window := p.traffic.meanCost * float64(p.agents) / hotKeyShare
	usage := p.usages.record(key, p.now, window)
	return (usage.arrivals - 1) % uint64(math.Ceil(usage.recentLoad))
}

// keyUsage is how often a key was requested lately.
type keyUsage struct {
	recentLoad float64 // requests in the window, decaying linearly
	arrivals   uint64
	lastSeenAt Micros
}

// keyUsages keeps the usage of the keys of two windows at the most.
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
