// Package upstream sends attempts and health checks to endpoints over pooled HTTP/1.1 connections.
//
// Each Endpoint has one goroutine, its worker, with a mailbox. The worker owns the endpoint's state: the latest list entry, the attempts
// that have not ended and the idle connections. Dials, long writes and reads run in separate goroutines, which report to the mailbox.
// List updates, attempts and results are thus handled in the order in which they arrive. The methods of Endpoint may be called by any
// goroutine and do not block. Results go to Events.
//
// This package never sends an attempt twice. If a request may have reached the endpoint, the attempt ends, and the caller decides whether
// to retry. Only a request whose last byte can't have been sent is written again, on another connection.
package upstream

import (
	"net"
	"time"

	"switchfork/internal/connlimit"
	"switchfork/internal/mailbox"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

// DefaultSettleTime is the usual Config.SettleTime. When a connection becomes idle, a second response to the previous request may still
// arrive, and the next request on the connection would get the body of that response. According to the protocol, this may happen for some
// milliseconds. DefaultSettleTime is several times as long. The cost is an additional connection whenever a connection would otherwise be
// reused at once.
const DefaultSettleTime = 20 * time.Millisecond

// StallThreshold is how late a timer has to fire to show that the process has stalled. Messages that discovery and the rollout controller
// sent during the stall count as received once they have reached the agent's machine, even if the process has not read them yet.
const StallThreshold = 250 * time.Millisecond

// Config has the settings that the endpoints of a pool share.
type Config struct {
	DialTimeout      time.Duration
	IdleTimeout      time.Duration // time after which an endpoint may close an idle connection; 0: it never does
	LoadReportFields []string
	Budget           *connlimit.Budget
	// SettleTime is how long a connection stays unused after a response before the next request is written to it.
	SettleTime time.Duration
}

// Pool creates endpoints that share a configuration. The configuration does not change after NewPool.
type Pool struct {
	config Config
	dialer net.Dialer
}

// NewPool creates a pool without endpoints.
func NewPool(config Config) *Pool {
	return &Pool{config: config, dialer: net.Dialer{Timeout: config.DialTimeout, KeepAlive: -1}}
}

// NewEndpoint creates an endpoint and starts its worker, which reports the results of attempts and health checks to events.
func (p *Pool) NewEndpoint(id uint32, entry protocol.ListEntry, events Events) *Endpoint {
	endpoint := &Endpoint{id: id, mailbox: mailbox.New[message]()}
	go newWorker(p, endpoint, entry.Host, events).serve()
	return endpoint
}

// Events receives the results of attempts and health checks. Its methods are called by the endpoints' workers and must not block.
type Events interface {
	AttemptFinished(AttemptFinished)
	HealthChecked(policy.HealthCheckResult)
	ConnectionsExhausted() // no descriptor was left for a new connection
	DialStarted()
}

// AttemptFinished is the result of one attempt, with the response if one was received.
type AttemptFinished struct {
	policy.AttemptResult
	Result   protocol.Result
	Response *protocol.Response
}
