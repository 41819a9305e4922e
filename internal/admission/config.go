package admission

// Micros is a point in time or a duration in whole microseconds.
type Micros = int64

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond
)

// Config is the configuration of a Controller. Only the tenants' weights may change later, by SetWeights.
type Config struct {
	Classes    []RequestClass // Arrival.Class is an index into Classes
	Tenants    []Tenant       // Arrival.Tenant is an index into Tenants; all unknown tenants together count as one more
	Limits     Limits
	RetryAfter RetryAfterLimits
	// CoalesceRetries makes a retry that arrives while an earlier attempt is in progress share the answer of that attempt.
	// Otherwise the retry waits until the attempt has finished.
	CoalesceRetries bool
	// Seed seeds the random numbers, which makes them repeatable, and the hash that distributes clients over queues. As long as
	// clients don't know the seed, they cannot choose their queues.
	Seed int64
}

// RequestClass describes one kind of request.
type RequestClass struct {
	LatencyObjective Micros
	Timeout          Micros
	PriorityWeight   float64
	Keyed            bool // Arrival.Key is the hash of an idempotency key, so a request with an equal key is a retry
}

// Tenant is one customer of the service. Its share of the capacity is proportional to its weight.
type Tenant struct{ Weight float64 }

// Limits bounds the open requests, which are those waiting and those in progress.
type Limits struct {
	Requests int
	Bytes    int64 // total size of the request bodies
	Queues   int   // number of queues per tenant, over which its clients are distributed
}

const (
	// budgetDivisor gives admission control a quarter of the process's memory budget.
	budgetDivisor = 4
	// bodyDivisor gives request bodies half of admission control's memory.
	bodyDivisor = 2
	// bytesPerRequest is the memory that one request takes besides its body, including its connection and garbage.
	bytesPerRequest = 64 << 10
)

// LimitsFor derives the limits from the process's memory budget in MiB and the number of queues per tenant. upstreamSlots is the
// number of open requests that the process's connections allow.
func LimitsFor(budgetMB, upstreamSlots, queues int) Limits {
	admissionBytes := int64(budgetMB) << 20 / budgetDivisor
	return Limits{
		Requests: max(1, min(upstreamSlots, int(admissionBytes/bytesPerRequest))),
		Bytes:    admissionBytes / bodyDivisor,
		Queues:   queues,
	}
}

// RetryAfterLimits bounds the Retry-After times that are sent to rejected clients. If Max is 0, clients are sent no
// Retry-After.
type RetryAfterLimits struct{ Max Micros }
