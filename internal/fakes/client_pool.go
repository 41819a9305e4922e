package fakes

import (
	"net"
	"net/http"
	"time"
)

// The bounds on a tenant's connections keep all tenants' together to a part of what an agent with 1,024 descriptors accepts. A
// tenant that sends more than highRate gets the larger number.
const (
	defaultConnections  = 50
	highRateConnections = 400
	highRate            = 400.0

	clientIdleTimeout = time.Second
	clientDialTimeout = time.Second
)

// clientPool is the connections that a tenant's clients share.
type clientPool struct {
	slots chan struct{} // one for each request in progress
	http  *http.Client
}

func newClientPool(connections int) *clientPool {
	return &clientPool{
		slots: make(chan struct{}, connections),
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConns:        connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     clientIdleTimeout,
			DialContext:         (&net.Dialer{Timeout: clientDialTimeout}).DialContext,
		}},
	}
}

// pool returns the connections of a group's tenant, which are others while it sends at a high rate.
func (c *Clients) pool(group ClientGroup) *clientPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	connections, name := defaultConnections, group.Tenant
	if group.Rate > highRate {
		connections, name = highRateConnections, group.Tenant+" at a high rate"
	}
	if c.pools[name] == nil {
		c.pools[name] = newClientPool(connections)
	}
	return c.pools[name]
}
