package policy

import "switchfork/internal/stats"

const (
	returnRateWeight  = 0.1 // of one rejected client in the moving mean
	initialReturnRate = 0.5
	clientReturnGrace = 500 * millisecond // added to the longest wait that clients follow
)

// rejectedClient is a client that was rejected and has not come back yet.
type rejectedClient struct {
	rejectedAt Micros
	acceptedAt Micros // when the client first sent the request
	clientHash uint64
}

// rejectedClients decides which request is a rejected client's retry, and keeps how many rejected clients come back. Retries and
// attempt timeouts depend on it. The dispatcher feeds it.
type rejectedClients struct {
	byHash     map[uint64]rejectedClient
	queue      []rejectedClient // in order of time
	returnRate float64          // moving mean of those who come back
}

func newRejectedClients() *rejectedClients {
	return &rejectedClients{byHash: map[uint64]rejectedClient{}, returnRate: initialReturnRate}
}

// reject records that a client's request was given up. One that got a final failure counts too, though few of these come back.
func (c *rejectedClients) reject(client rejectedClient) {
	c.byHash[client.clientHash] = client
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
