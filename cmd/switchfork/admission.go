package main

import (
	"log/slog"

	"switchfork/internal/admission"
	"switchfork/internal/options"
	"switchfork/internal/policy"
	"switchfork/internal/proxy"
)

// enableAdmission creates the admission control that the operator's file configures, and puts it in front of the event loop.
func (p *agentProcess) enableAdmission() {
	opts := p.options.Admission
	p.admission = proxy.NewAdmissionLoop(p.newAdmissionController(opts), p.clock, p.loop)
	p.proxy.UseAdmission(p.admission, proxy.ClientKey{Header: opts.Header, Connection: opts.ClientIdentity == options.ClientByConnection})
}

func (p *agentProcess) newAdmissionController(opts options.Admission) *admission.Controller {
	connections := p.settings.connections
	var classes []admission.RequestClass
	for i, class := range p.settings.classes {
		priority := p.settings.classPriorities[i]
		classes = append(classes, admission.RequestClass{
			LatencyObjective: priority.LatencyObjective.Microseconds(),
			Timeout:          class.Timeout.Microseconds(),
			PriorityWeight:   priority.PriorityWeight,
			Keyed:            class.Idempotency == policy.Keyed,
		})
	}
	limits := p.admissionLimits(opts)
	retryAfter := admission.RetryAfterLimits{}
	if opts.SendsRetryAfter {
		retryAfter.Max = connections.MaxRetryAfter.Microseconds()
	}
	tenants := tenantWeights(opts, p.settings.tenants, p.settings.tenantShares)
	slog.Info("admission control configured", "max_requests", limits.Requests, "max_kib", limits.Bytes>>10, "queues", limits.Queues, "tenants", len(tenants))
	return admission.New(admission.Config{
		Classes:         classes,
		Tenants:         tenants,
		Limits:          limits,
		RetryAfter:      retryAfter,
		CoalesceRetries: opts.Coalesces,
		Seed:            int64(p.settings.seed),
	})
}

// admissionLimits derives the limits from the agent's memory and connections, and then applies the limits in the operator's file.
// The operator can lower the limit on requests but not raise it, and can set the limit on bytes to any value.
func (p *agentProcess) admissionLimits(opts options.Admission) admission.Limits {
	openRequests := min(p.settings.connections.MaxOpenRequests, p.budget.MaxRequests())
	limits := admission.LimitsFor(p.settings.limits.MemoryMB, openRequests, opts.Queues)
	if opts.Requests > 0 {
		limits.Requests = min(limits.Requests, opts.Requests)
	}
	if opts.Bytes > 0 {
		limits.Bytes = opts.Bytes
	}
	return limits
}

// tenantWeights returns each tenant's weight in the operator's file, or the tenant's configured share if the file sets no weight.
func tenantWeights(opts options.Admission, tenants []string, shares []float64) []admission.Tenant {
	var weights []admission.Tenant
	for i, name := range tenants {
		weight, isSet := opts.Weights[name]
		if !isSet {
			weight = shares[i]
		}
		weights = append(weights, admission.Tenant{Weight: weight})
	}
	return weights
}
