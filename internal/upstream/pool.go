// Package upstream sends attempts and health checks to endpoints over pooled HTTP/1.1 connections.
//
// Each Endpoint has one goroutine, its worker, with a mailbox. The worker owns the endpoint's state: the latest list entry, the attempts
// that have not ended and the idle connections. Dials, long writes and reads run in goroutines of their own, which report to the mailbox;
// so list updates, attempts and results are handled in the order in which they came. The methods of Endpoint may be called by any goroutine
// and do not block; results go to Events.
//
// An attempt is never sent twice by this package: where a request may have reached the endpoint, it ends, and the caller decides
// whether to retry. Only a request of which the last byte can't have left is written again, on another connection.
package upstream

import (
	"net"
	"time"

	"switchfork/internal/connlimit"
	"switchfork/internal/mailbox"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

// DefaultSettleTime is the usual Config.SettleTime. A second response to the previous request may still be on its way when a connection
// becomes idle, by the protocol for some milliseconds, and the next request on it would get that response's body. This is several times as
// long. It costs one connection more where one would be reused at once.
const DefaultSettleTime = 20 * time.Millisecond

// StallThreshold is how late a timer has to be to say that the process has stalled. What the endpoint list and the rollout controller
// wrote meanwhile counts as received, but may not have been read yet.
const StallThreshold = 250 * time.Millisecond

// Config is what the endpoints of a pool have in common.
type Config struct {
	DialTimeout      time.Duration
	IdleTimeout      time.Duration // after which an endpoint may close an idle connection; 0: never
	LoadReportFields []string
	Budget           *connlimit.Budget
	// SettleTime is how long a connection rests after a response before the next request goes out on it.
	SettleTime time.Duration
}

// Pool makes endpoints with a common configuration, which is not changed after NewPool.
type Pool struct {
	config Config
	dialer net.Dialer
}

// NewPool makes a pool without endpoints.
func NewPool(config Config) *Pool {
	return &Pool{config: config, dialer: net.Dialer{Timeout: config.DialTimeout, KeepAlive: -1}}
}

// NewEndpoint starts the goroutine of one endpoint, which reports the results of its attempts to events.
func (p *Pool) NewEndpoint(id uint32, entry protocol.ListEntry, events Events) *Endpoint {
	endpoint := &Endpoint{id: id, mailbox: mailbox.New[message]()}
	go newWorker(p, endpoint, entry.Host, events).serve()
	return endpoint
}

// Events receives the results of attempts and health checks. Its methods are called by the endpoints' goroutines and must not wait.
type Events interface {
	AttemptFinished(AttemptFinished)
	HealthChecked(policy.HealthCheckResult)
	ConnectionsExhausted()
	DialStarted()
}

// AttemptFinished is the result of one attempt, with the response where one came.
type AttemptFinished struct {
	policy.AttemptResult
	Result   protocol.Result
	Response *protocol.Response
}
