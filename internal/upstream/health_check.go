package upstream

import (
	"net/http"
	"time"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

// Request targets of health checks.
const (
	pingTarget       = "/ping"
	loadReportTarget = "/_load" // the response's body is a load report
)

// startHealthCheck sends a health check, which has to be answered within the dial timeout.
func (w *worker) startHealthCheck() {
	w.inFlight.healthChecks++
	now := time.Now()
	w.start(&httpExchange{
		isHealthCheck: true,
		Attempt: Attempt{
			DecidedAt: now,
			Deadline:  now.Add(w.pool.dialer.Timeout),
			Encoded:   w.healthCheckRequest(),
		},
	})
}

// healthCheckRequest encodes a health check. It requests the load report if load report fields are configured.
func (w *worker) healthCheckRequest() *protocol.EncodedRequest {
	target := pingTarget
	if len(w.pool.config.LoadReportFields) > 0 {
		target = loadReportTarget
	}
	return protocol.EncodeRequest(http.MethodGet, target, w.process.address, nil, nil)
}

func (w *worker) reportHealthCheck(result protocol.Result, response *protocol.Response, elapsed policy.Micros) {
	w.inFlight.healthChecks--
	check := policy.HealthCheckResult{EndpointID: w.id, Outcome: result.Outcome(), Elapsed: elapsed}
	if response != nil {
		check.Load = response.Load
		if check.Load == nil {
			check.Load = protocol.ParseLoadReport(response.Body, w.pool.config.LoadReportFields)
		}
	}
	w.events.HealthChecked(check)
}
