package policy

import "switchfork/internal/stats"

const (
	returnRateWeight  = 0.1 // weight of one rejected client in the moving mean
	initialReturnRate = 0.5
	clientReturnGrace = 500 * millisecond // a client is expected back within the longest Retry-After that clients honor plus this time
)

// rejectedClient is a client that was rejected and has not come back yet.
type rejectedClient struct {
	rejectedAt Micros
	acceptedAt Micros // when the client first sent the request
	clientHash uint64
}

// rejectedClients decides which requests are retries by rejected clients, and tracks how many of these clients come back. A retry
// counts from the time of the first try, and attempt timeouts depend on the return rate. The dispatcher updates rejectedClients.
type rejectedClients struct {
	byHash     map[uint64]rejectedClient
	queue      []rejectedClient // by time of rejection, oldest first
	returnRate float64          // share of rejected clients that come back, as a moving mean
}

func newRejectedClients() *rejectedClients {
	return &rejectedClients{byHash: map[uint64]rejectedClient{}, returnRate: initialReturnRate}
}

// reject records that a client's request was given up. A client whose request got a final failure counts too, although few of
// these come back.
func (c *rejectedClients) reject(client rejectedClient) {
	c.byHash[client.clientHash] = client
	c.queue = append(c.queue, client)
}

// firstArrival returns when a client first sent a request that arrives now: arrivedAt, or an earlier time if the request was
// rejected before. In the second case it also records that the client has come back.
func (c *rejectedClients) firstArrival(clientHash uint64, arrivedAt Micros) Micros {
	client, hasReturned := c.byHash[clientHash]
	if !hasReturned {
		return arrivedAt
	}
	delete(c.byHash, clientHash)
	c.returnRate = stats.MovingMean(c.returnRate, 1, returnRateWeight)
	return client.acceptedAt
}

// expire forgets the clients that were rejected before the given time. Those that have not come back lower the return rate.
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
