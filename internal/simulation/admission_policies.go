package simulation

import "switchfork/internal/admission"

// AdmissionPolicy is an algorithm that decides which requests are admitted: the admission controller of the agent, or a
// baseline.
type AdmissionPolicy string

// The admission policies.
const (
	// FairQueues is the admission controller as the agent runs it.
	FairQueues AdmissionPolicy = "fair queues"
	// FairQueuesNoReservations sends every rejected client the same Retry-After and reserves no capacity for its return.
	FairQueuesNoReservations AdmissionPolicy = "fair queues, no reservations"
	// FIFO serves all tenants from one queue.
	FIFO AdmissionPolicy = "first in, first out"
	// TokenBucket limits each tenant to its share of the capacity. The requests that pass share one queue.
	TokenBucket AdmissionPolicy = "token bucket per tenant"
)

// The limits of the admission controller.
const (
	maxOpenRequests = 1000
	maxOpenBytes    = 1 << 30
	queuesPerTenant = 64
)

// admitter is an admission controller set up for a policy.
type admitter struct {
	*admission.Controller
	queueTenant     func(tenant int) int             // returns the controller's index for a tenant of the scenario
	fixedRetryAfter int64                            // in microseconds; sent instead of the controller's Retry-After; 0: the controller's is sent
	allows          func(now int64, tenant int) bool // reports whether a request may reach the controller
}

func newAdmitter(scenario *AdmissionScenario, admissionPolicy AdmissionPolicy) admitter {
	classes := []admission.RequestClass{{
		LatencyObjective: scenario.latencyObjective(),
		Timeout:          scenario.timeout(),
		PriorityWeight:   1,
	}}
	limits := admission.Limits{Requests: maxOpenRequests, Bytes: maxOpenBytes, Queues: queuesPerTenant}
	retryAfter := admission.RetryAfterLimits{Max: maxRetryAfter}
	var tenants []admission.Tenant
	for _, share := range scenario.TenantShares {
		tenants = append(tenants, admission.Tenant{Weight: share})
	}
	a := admitter{
		queueTenant: func(tenant int) int { return tenant },
		allows:      func(int64, int) bool { return true },
	}
	switch admissionPolicy {
	case FairQueues:
	case FairQueuesNoReservations:
		retryAfter.Max = 0
		a.fixedRetryAfter = maxRetryAfter
	case FIFO, TokenBucket:
		// A single tenant with a single queue is served first in, first out.
		tenants = nil
		limits.Queues = 1
		retryAfter.Max = 0
		a.fixedRetryAfter = maxRetryAfter
		a.queueTenant = func(int) int { return 0 }
	}
	if admissionPolicy == TokenBucket {
		a.allows = newTokenBuckets(scenario).take
	}
	a.Controller = admission.New(admission.Config{
		Classes:    classes,
		Tenants:    tenants,
		Limits:     limits,
		RetryAfter: retryAfter,
		Seed:       scenario.Seed,
	})
	return a
}

// tokenBuckets holds a bucket for each tenant. A token is a microsecond of work. A bucket is refilled at the tenant's share of
// the capacity, and holds at most the refill of a second.
type tokenBuckets struct {
	rates       []float64 // tokens per microsecond
	tokens      []float64
	refilledAt  []int64
	requestCost float64
}

func newTokenBuckets(scenario *AdmissionScenario) *tokenBuckets {
	count := len(scenario.TenantShares)
	b := &tokenBuckets{
		rates:       make([]float64, count),
		tokens:      make([]float64, count),
		refilledAt:  make([]int64, count),
		requestCost: float64(scenario.MeanWork),
	}
	for tenant, share := range scenario.TenantShares {
		b.rates[tenant] = share * scenario.capacity()
		b.tokens[tenant] = b.rates[tenant] * float64(second)
	}
	return b
}

// take removes the tokens for a request from the tenant's bucket. It reports false if there are too few.
func (b *tokenBuckets) take(now int64, tenant int) bool {
	rate := b.rates[tenant]
	b.tokens[tenant] = min(b.tokens[tenant]+rate*float64(now-b.refilledAt[tenant]), rate*float64(second))
	b.refilledAt[tenant] = now
	if b.tokens[tenant] < b.requestCost {
		return false
	}
	b.tokens[tenant] -= b.requestCost
	return true
}
