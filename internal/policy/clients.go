package policy

import "switchfork/internal/stats"

// rejectedClient is a client that was rejected and has not come back yet.
type rejectedClient struct {
	rejectedAt Micros
	acceptedAt Micros // when the client first sent the request
	clientHash uint64
}

// rejectedClients tracks which clients come back after a rejection, and how many do.
type rejectedClients struct {
	byHash     map[uint64]rejectedClient
	queue      []rejectedClient // in order of time
	returnRate float64          // moving mean of those who come back
}

// reject records that a client was rejected.
func (c *rejectedClients) reject(now, acceptedAt Micros, clientHash uint64) {
	client := rejectedClient{now, acceptedAt, clientHash}
	c.byHash[clientHash] = client
	c.queue = append(c.queue, client)
}

// returned is when the client of a new request first sent it: before now where it was rejected since.
func (c *rejectedClients) returned(clientHash uint64, arrivedAt Micros) Micros {
	client, hasReturned := c.byHash[clientHash]
	if !hasReturned {
		return arrivedAt
	}
	delete(c.byHash, clientHash)
	c.returnRate = stats.MovingMean(c.returnRate, 1, returnRateWeight)
	return client.acceptedAt
}

// expire counts the clients that were rejected before the given time and have not come back.
func (c *rejectedClients) expire(before Micros) {
	for len(c.queue) > 0 && c.queue[0].rejectedAt < before {
		client := c.queue[0]
		if c.byHash[client.clientHash] == client {
			delete(c.byHash, client.clientHash)
			c.returnRate *= 1 - returnRateWeight
		}
		c.queue = c.queue[1:]
	}
}

// tenantErrorRates are moving means of the errors that tenants get.
type tenantErrorRates struct{ rates map[int]float64 }

// clearAbove forgets all where there are more than the given number.
func (t *tenantErrorRates) clearAbove(count int) {
	if len(t.rates) > count {
		clear(t.rates)
	}
}

func (t *tenantErrorRates) record(tenant int, failed bool, weight float64) {
	t.rates[tenant] = stats.MovingMean(t.rates[tenant], stats.Indicator(failed), weight)
}

// lowest is the least error rate of any tenant.
func (t *tenantErrorRates) lowest() float64 {
	least := 1.0
	for _, rate := range t.rates {
		least = min(least, rate)
	}
	return least
}

// keyUsage is how often a key was requested lately.
type keyUsage struct {
	recentLoad float64 // requests in the window, decaying linearly
	arrivals   uint64
	lastSeenAt Micros
}

// keyUsages keeps the usage of the keys of two windows at the most.
type keyUsages struct {
	recent, previous map[uint64]keyUsage
	rotateAt         Micros
}

// record counts one request for a key. A key that was not seen for a window has no load left, so it may be forgotten.
func (k *keyUsages) record(key uint64, now Micros, window float64) keyUsage {
	if now >= k.rotateAt {
		k.recent, k.previous, k.rotateAt = map[uint64]keyUsage{}, k.recent, now+Micros(window)
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
