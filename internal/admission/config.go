package admission

// Micros is a point in time or a duration in whole microseconds.
type Micros = int64

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond
)

// Config is what a Controller is created with. Only the tenants' weights may change later, by SetWeights.
type Config struct {
	Classes    []RequestClass // an Arrival names its class by the index here
	Tenants    []Tenant       // an Arrival names its tenant by the index here; all others count as one more tenant
	Limits     Limits
	RetryAfter RetryAfterLimits
	// CoalesceRetries gives a retry that arrives while an earlier attempt is in progress that attempt's answer, instead of
	// letting it wait for the attempt's end.
	CoalesceRetries bool
	// Seed makes the random draws repeatable, and the clients' queues unknown to them.
	Seed int64
}

// RequestClass describes one kind of request.
type RequestClass struct {
	LatencyObjective Micros
	Timeout          Micros
	PriorityWeight   float64
	Keyed            bool // the key identifies one request, so an equal key marks a retry
}

// Tenant is one customer of the service and its share of the whole.
type Tenant struct{ Weight float64 }

// Limits bounds the requests that are open at a time, waiting and in progress together.
type Limits struct {
	Requests int
	Bytes    int64 // of their bodies
	Queues   int   // per tenant; its clients are spread over them
}

const (
	// budgetDivisor gives admission control a quarter of the process's memory budget.
	budgetDivisor = 4
	// bodyDivisor gives request bodies half of admission control's memory.
	bodyDivisor = 2
	// bytesPerRequest is what one request takes beside its body: its connection and garbage included.
	bytesPerRequest = 64 << 10
)

// LimitsFor derives the limits from the process's memory budget, the number of upstream slots and the number of queues
// for each tenant.
func LimitsFor(budgetMB, upstreamSlots, queues int) Limits {
	admissionBytes := int64(budgetMB) << 20 / budgetDivisor
	return Limits{
		Requests: max(1, min(upstreamSlots, int(admissionBytes/bytesPerRequest))),
		Bytes:    admissionBytes / bodyDivisor,
		Queues:   queues,
	}
}

// RetryAfterLimits bounds the Retry-After times that are sent to rejected clients. With Max 0 none are sent.
type RetryAfterLimits struct{ Max Micros }
