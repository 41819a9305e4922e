package upstream

import (
	"net/http"
	"time"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

// The targets of health checks.
const (
	pingTarget       = "/ping"
	loadReportTarget = "/_load" // the response's body is a load report
)

// startHealthCheck sends a health check, which has a dial's time for its response.
func (e *Endpoint) startHealthCheck() {
	e.pending++
	now := time.Now()
	e.start(&httpExchange{
		isHealthCheck: true,
		Attempt: Attempt{
			DecidedAt: now,
			Deadline:  now.Add(e.pool.dialer.Timeout),
			Encoded:   e.healthCheckRequest(),
		},
	})
}

// healthCheckRequest asks for the load report where endpoints have one.
func (e *Endpoint) healthCheckRequest() *protocol.EncodedRequest {
	target := pingTarget
	if len(e.pool.config.LoadReportFields) > 0 {
		target = loadReportTarget
	}
	return protocol.EncodeRequest(http.MethodGet, target, e.process.address, nil, nil)
}

func (e *Endpoint) reportHealthCheck(result protocol.Result, response *protocol.Response, elapsed policy.Micros) {
	e.pending--
	check := policy.HealthCheckResult{EndpointID: e.id, Outcome: result.Outcome(), Elapsed: elapsed}
	if response != nil {
		check.Load = response.Load
		if check.Load == nil {
			check.Load = protocol.ParseLoadReport(response.Body, e.pool.config.LoadReportFields)
		}
	}
	e.events.HealthChecked(check)
}
