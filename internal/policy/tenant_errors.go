package policy

import "switchfork/internal/stats"

const (
	tenantErrorWeight = 0.05 // weight of one result in a tenant's moving mean
	// tenantErrorExcess is how far a tenant's error rate must exceed the lowest error rate of any tenant before the tenant's errors
	// count as its own fault. A bad build or endpoint causes a smaller excess.
	tenantErrorExcess = 0.2
	// maxTenants is the number of known tenants above which the error rates of all tenants are discarded.
	maxTenants = 1000
)

// tenantErrorRates decides whose fault a server error is. It protects healthy endpoints from tenants whose requests fail at
// every endpoint: such errors would eject all endpoints. As a side effect, an endpoint that fails every request may stay in use
// while only few tenants have a low error rate. The dispatcher passes it the result of each attempt.
type tenantErrorRates struct {
	rates map[int]float64 // moving means, by tenant
}

func newTenantErrorRates() *tenantErrorRates { return &tenantErrorRates{rates: map[int]float64{}} }

// classify records a tenant's result, and reports whether it is an error that is more likely the tenant's fault than the
// endpoint's. Errors of a build in evaluation are the fault of the build and are not recorded.
func (t *tenantErrorRates) classify(tenant int, outcome Outcome, onCanary bool) bool {
	t.clearIfFull()
	isError := outcome == ServerError
	isClientError := isError && t.isFailing(tenant)
	if !onCanary && (isError || outcome == OK) {
		t.record(tenant, isError)
	}
	return isClientError
}

// isFailing reports whether a tenant has a far higher error rate than the tenant with the lowest one.
func (t *tenantErrorRates) isFailing(tenant int) bool {
	return t.rates[tenant]-t.lowest() > tenantErrorExcess
}

func (t *tenantErrorRates) clearIfFull() {
	if len(t.rates) > maxTenants {
		clear(t.rates)
	}
}

func (t *tenantErrorRates) record(tenant int, isError bool) {
	t.rates[tenant] = stats.MovingMean(t.rates[tenant], stats.Indicator(isError), tenantErrorWeight)
}

// lowest returns the lowest error rate of any tenant, or 1 if no tenant is known.
func (t *tenantErrorRates) lowest() float64 {
	least := 1.0
	for _, rate := range t.rates {
		least = min(least, rate)
	}
	return least
}
