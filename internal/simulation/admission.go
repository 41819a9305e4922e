package simulation

import (
	"math/rand"

	"switchfork/internal/admission"
	"switchfork/internal/policy"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// AdmissionScenario describes a load and the endpoints that serve it.
type AdmissionScenario struct {
	Seed         int64
	Seconds      int // how long clients send new requests
	Endpoints    int
	Slots        int       // requests that an endpoint serves at the same time
	MeanWork     int64     // mean service time of a request, in microseconds
	Load         float64   // load of all tenants together, as a fraction of the endpoints' capacity
	TenantShares []float64 // each tenant's fraction of the load, which is also the tenant's weight

	NoisyTenants       []int   // tenants that send NoiseFactor times their share of the load
	NoiseFactor        float64 // 1: no tenant is noisy
	UniqueNoisyClients bool    // each request of a noisy tenant comes from a new client
	OneOffClients      int     // clients that send one request each, spread over the whole run
	OverloadFactor     float64 // if not 0, each tenant sends this multiple of its share of the capacity, and Load is ignored

	SlowFrom   int64 // from SlowFrom to SlowTo, in microseconds, requests take SlowFactor times as long
	SlowTo     int64
	SlowFactor float64
}

const (
	// objectiveMultiple is the latency objective of the only request class, as a multiple of the mean work. It leaves time for
	// some queueing.
	objectiveMultiple = 20
	// timeoutMultiple is the timeout of the request class, as a multiple of the mean work.
	timeoutMultiple = 60
	// maxRetryAfter bounds the Retry-After times that clients are sent.
	maxRetryAfter = 2 * second
	// maxClientRetries is how many times a client retries a rejected request.
	maxClientRetries = 3
)

func (s *AdmissionScenario) latencyObjective() int64 { return objectiveMultiple * s.MeanWork }

func (s *AdmissionScenario) timeout() int64 { return timeoutMultiple * s.MeanWork }

func (s *AdmissionScenario) duration() int64 { return int64(s.Seconds) * second }

// capacity returns the work, in microseconds, that all endpoints together complete in a microsecond.
func (s *AdmissionScenario) capacity() float64 { return float64(s.Endpoints * s.Slots) }

// TenantResult counts the outcomes of a tenant's requests.
type TenantResult struct {
	Offered   int                     // requests, not counting the clients' retries
	InTime    int                     // requests that succeeded within the latency objective
	GivenUp   int                     // requests that failed, or were rejected and not retried again
	Succeeded int                     // requests that succeeded before the end of the scenario
	Attempts  int                     // requests, counting each retry of a client as well
	Rejected  int                     // attempts that were rejected
	Latency   *hdrhistogram.Histogram // latencies of the attempts that succeeded, in microseconds
}

// AdmissionResult is the outcome of an admission scenario.
type AdmissionResult struct {
	Tenants           []TenantResult
	AdmittedCost      []float64 // by tenant, in microseconds of work
	Counters          admission.Counters
	RetryAfterRatios  []float64 // Retry-After of a rejected request, divided by the wait that was needed
	ConcurrencyLimits []float64 // the admission controller's concurrency limit, sampled once a second
}

// admissionRun is the state of a scenario while it runs.
type admissionRun struct {
	timeline
	scenario AdmissionScenario
	random   *rand.Rand
	result   *AdmissionResult

	admitter    admitter
	timerAt     int64 // time at which the admission controller's timer fires; never: no timer is set
	retryAfters *retryAfterMeter

	router        policy.Router
	endpoints     []*endpointModel
	pending       map[uint64]*clientRequest
	lastRequestID uint64
}

// PlayAdmission runs a scenario under an admission policy.
func PlayAdmission(scenario AdmissionScenario, admissionPolicy AdmissionPolicy) *AdmissionResult {
	r := &admissionRun{
		scenario:    scenario,
		random:      rand.New(rand.NewSource(scenario.Seed)),
		result:      &AdmissionResult{},
		timerAt:     never,
		retryAfters: newRetryAfterMeter(len(scenario.TenantShares)),
		pending:     map[uint64]*clientRequest{},
	}
	for range scenario.TenantShares {
		r.result.Tenants = append(r.result.Tenants, TenantResult{Latency: hdrhistogram.New(1, 100*second, 3)})
	}
	r.startRouter()
	r.admitter = newAdmitter(&r.scenario, admissionPolicy)
	r.scheduleArrivals()
	r.scheduleLimitSamples()
	r.runUntil(scenario.duration() + scenario.timeout() + maxRetryAfter*maxClientRetries)
	r.result.Counters = r.admitter.Counters
	r.result.RetryAfterRatios = r.retryAfters.ratios
	for tenant := range scenario.TenantShares {
		r.result.AdmittedCost = append(r.result.AdmittedCost, r.tenantStatus(tenant).AdmittedCost)
	}
	return r.result
}

func (r *admissionRun) scheduleLimitSamples() {
	for i := range r.scenario.Seconds {
		r.schedule(int64(i+1)*second, func() {
			r.result.ConcurrencyLimits = append(r.result.ConcurrencyLimits, r.admitter.Status().Limit)
		})
	}
}

// admit asks the admission controller to admit a request.
func (r *admissionRun) admit(request *clientRequest) {
	if !r.admitter.allows(r.now, request.tenant) {
		r.rejectRequest(request, r.admitter.fixedRetryAfter)
		return
	}
	r.executeAdmission(r.admitter.Arrive(r.now, admission.Arrival{
		ID:       request.id,
		Tenant:   r.admitter.queueTenant(request.tenant),
		Client:   request.client,
		Key:      request.key,
		IsRetry:  request.attempts > 1,
		Deadline: request.deadline,
		Bytes:    requestBytes,
	}))
}

// executeAdmission executes the admission controller's commands, records the admitted cost of each tenant and sets the timer.
func (r *admissionRun) executeAdmission(commands []admission.Command) {
	for _, command := range commands {
		request := r.pending[command.ID]
		if request == nil {
			continue
		}
		switch command.Kind {
		case admission.Admit:
			r.sendToRouter(policy.RequestArrived{ID: command.ID, Deadline: request.deadline, ArrivedAt: request.arrivedAt})
		case admission.Reject:
			r.executeReject(request, command)
		case admission.Coalesce:
			panic("simulation: the admission controller coalesced a retry, which no scenario enables")
		}
	}
	for tenant := range r.scenario.TenantShares {
		r.retryAfters.recordAdmittedCost(r.now, tenant, r.tenantStatus(tenant).AdmittedCost)
	}
	r.scheduleAdmissionTimer()
}

func (r *admissionRun) executeReject(request *clientRequest, command admission.Command) {
	retryAfter := command.RetryAfter
	if r.admitter.fixedRetryAfter > 0 && command.Reason != admission.Replaced {
		retryAfter = r.admitter.fixedRetryAfter
	}
	if command.RetryAfter > 0 {
		r.retryAfters.recordRejection(r.now, request.tenant, r.tenantStatus(request.tenant), command.RetryAfter)
	}
	r.rejectRequest(request, retryAfter)
}

func (r *admissionRun) scheduleAdmissionTimer() {
	next := r.admitter.NextTimer()
	if next <= 0 || next >= r.timerAt {
		return
	}
	r.timerAt = next
	r.schedule(next, func() {
		if r.timerAt <= r.now {
			r.timerAt = never
			r.executeAdmission(r.admitter.TimerFired(r.now))
		}
	})
}

func (r *admissionRun) tenantStatus(tenant int) admission.TenantStatus {
	return r.admitter.Tenant(r.admitter.queueTenant(tenant))
}
