package main

import (
	"log/slog"

	"switchfork/internal/admission"
	"switchfork/internal/options"
	"switchfork/internal/policy"
	"switchfork/internal/proxy"
)

// enableAdmission puts the admission control that the operator asks for in front of the event loop.
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

// admissionLimits are what fits into the agent's memory and connections, or less where the operator wants less.
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

// tenantWeights are the tenants' configured shares, or what the operator has set in their place.
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
