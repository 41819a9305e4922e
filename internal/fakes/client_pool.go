package fakes

import (
	"net"
	"net/http"
	"time"
)

// Limits on the connections of a tenant. With them, the connections of all tenants together are only a part of what an agent with 1,024
// descriptors accepts. A tenant that sends at more than highRate gets the larger limit.
const (
	defaultConnections  = 50
	highRateConnections = 400
	highRate            = 400.0 // requests a second

	clientIdleTimeout = time.Second
	clientDialTimeout = time.Second
)

// clientPool holds the connections that a tenant's clients share.
type clientPool struct {
	slots chan struct{} // holds one value for each request in progress
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

// pool returns the connections of a group's tenant. Groups with a high rate have separate connections.
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
