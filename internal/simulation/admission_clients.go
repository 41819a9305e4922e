package simulation

import (
	"math/rand"
	"slices"

	"switchfork/internal/admission"
)

const (
	// clientsPerTenant is the number of clients of a tenant, unless each of its requests comes from a new client.
	clientsPerTenant = 20
	// firstUniqueClient is added to the client indices of a noisy tenant whose requests all come from new clients. The sums are
	// higher than the indices of clients that send several requests.
	firstUniqueClient = 1000
	// tenantKeyShift is the position of the tenant in an idempotency key. The lower bits hold the index of the request among the
	// tenant's requests.
	tenantKeyShift = 40
	// tenantClientShift is the position of the tenant in a client ID. The lower bits hold the index of the client among the
	// tenant's clients.
	tenantClientShift = 32
	// firstOneOffClient is the client ID and the idempotency key of the first one-off client. It is higher than all other client
	// IDs and keys.
	firstOneOffClient = 1 << 50
	// maxRetryJitter bounds the random time that a client waits in addition to Retry-After.
	maxRetryJitter = 3 * ms
	// requestBytes is the size of each request.
	requestBytes = 400
)

// clientRequest is a client's request with all its attempts. Each attempt has its own id, arrival time and deadline.
type clientRequest struct {
	tenant   int
	client   uint64
	key      uint64
	work     int64 // in microseconds
	attempts int

	// The current attempt.
	id        uint64
	arrivedAt int64
	deadline  int64
	isSent    bool // the router has sent the attempt to an endpoint
	isDone    bool
}

// scheduleArrivals schedules the requests of all clients. The load is open-loop: clients don't wait for answers.
func (r *admissionRun) scheduleArrivals() {
	for tenant, share := range r.scenario.TenantShares {
		r.scheduleTenant(tenant, share)
	}
	for i := range r.scenario.OneOffClients {
		part := float64(i) / float64(r.scenario.OneOffClients)
		r.schedule(int64(part*float64(r.scenario.Seconds)*float64(second)), func() { r.sendOneOff(i) })
	}
}

// scheduleTenant schedules a tenant's requests. Each tenant has its own random source, so that a noisy tenant does not change the
// requests of other tenants.
func (r *admissionRun) scheduleTenant(tenant int, share float64) {
	s := &r.scenario
	random := rand.New(rand.NewSource(s.Seed*1000 + int64(tenant)))
	rate := s.Load * share * s.capacity() / float64(s.MeanWork)
	if s.OverloadFactor > 0 {
		rate = s.OverloadFactor * share * s.capacity() / float64(s.MeanWork)
	}
	isNoisy := s.NoiseFactor > 1 && slices.Contains(s.NoisyTenants, tenant)
	if isNoisy {
		rate *= s.NoiseFactor
	}
	serial := uint64(0)
	var scheduleNext func(at int64)
	scheduleNext = func(at int64) {
		if at > s.duration() {
			return
		}
		r.schedule(at, func() {
			serial++
			client := uint64(tenant)<<tenantClientShift + serial%clientsPerTenant
			if isNoisy && s.UniqueNoisyClients {
				client = uint64(tenant)<<tenantClientShift + serial + firstUniqueClient
			}
			key := uint64(tenant)<<tenantKeyShift + serial
			r.offer(&clientRequest{tenant: tenant, client: client, key: key, work: s.drawWork(random)})
			scheduleNext(at + int64(random.ExpFloat64()/rate) + 1)
		})
	}
	scheduleNext(int64(random.ExpFloat64() / rate))
}

func (r *admissionRun) sendOneOff(i int) {
	id := firstOneOffClient + uint64(i)
	tenant := i % len(r.scenario.TenantShares)
	r.offer(&clientRequest{tenant: tenant, client: id, key: id, work: r.scenario.drawWork(r.random)})
}

func (s *AdmissionScenario) drawWork(random *rand.Rand) int64 {
	return int64(random.ExpFloat64()*float64(s.MeanWork)) + 1
}

// offer sends the first attempt of a new request.
func (r *admissionRun) offer(request *clientRequest) {
	r.result.Tenants[request.tenant].Offered++
	r.startAttempt(request)
}

// startAttempt sends a new request, or retries one.
func (r *admissionRun) startAttempt(request *clientRequest) {
	request.attempts++
	r.result.Tenants[request.tenant].Attempts++
	r.lastRequestID++
	request.id = r.lastRequestID
	request.arrivedAt = r.now
	request.deadline = r.now + r.scenario.timeout()
	request.isSent = false
	request.isDone = false
	r.pending[request.id] = request
	r.admit(request)
}

// rejectRequest rejects an attempt. The client retries after retryAfter. It gives up if retryAfter is 0, or after
// maxClientRetries retries.
func (r *admissionRun) rejectRequest(request *clientRequest, retryAfter int64) {
	tenant := &r.result.Tenants[request.tenant]
	tenant.Rejected++
	delete(r.pending, request.id)
	if request.attempts > maxClientRetries || retryAfter == 0 {
		tenant.GivenUp++
		return
	}
	jitter := int64(r.random.Float64() * float64(maxRetryJitter))
	r.schedule(r.now+retryAfter+jitter, func() { r.startAttempt(request) })
}

// finishRequest answers an admitted attempt and reports the result to the admission controller.
func (r *admissionRun) finishRequest(request *clientRequest, result admission.Result) {
	if request.isDone {
		return
	}
	request.isDone = true
	id := request.id
	delete(r.pending, id)
	switch result {
	case admission.Succeeded:
		r.recordSuccess(request)
	case admission.Rejected:
		r.rejectRequest(request, maxRetryAfter)
	case admission.Failed, admission.ClientGone:
		r.result.Tenants[request.tenant].GivenUp++
	}
	r.schedule(r.now, func() { r.executeAdmission(r.admitter.Finish(r.now, id, result)) })
}

func (r *admissionRun) recordSuccess(request *clientRequest) {
	tenant := &r.result.Tenants[request.tenant]
	if r.now <= r.scenario.duration() {
		tenant.Succeeded++
	}
	latency := r.now - request.arrivedAt
	_ = tenant.Latency.RecordValue(latency) // fails only for values out of range, and no latency exceeds the timeout
	if latency <= r.scenario.latencyObjective() {
		tenant.InTime++
	}
}
