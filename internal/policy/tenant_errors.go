package policy

import "switchfork/internal/stats"

const (
	tenantErrorWeight = 0.05 // of one result in a tenant's moving mean
	tenantErrorExcess = 0.2  // over the best tenant's error rate: a bad build or endpoint fails less
	maxTenants        = 1000 // beyond it all are forgotten
)

// tenantErrorRates decides whose fault a server error is. It guards healthy endpoints against tenants whose requests fail
// wherever they go: such errors would eject all endpoints. An endpoint that fails everything may be spared while few tenants are
// well. The dispatcher feeds it with the result of each attempt.
type tenantErrorRates struct {
	rates map[int]float64 // moving means, by tenant
}

func newTenantErrorRates() *tenantErrorRates { return &tenantErrorRates{rates: map[int]float64{}} }

// classify records a tenant's result, and reports whether it is an error that is more likely the tenant's than the endpoint's.
// The errors of a build in evaluation are its own and do not count.
func (t *tenantErrorRates) classify(tenant int, outcome Outcome, onCanary bool) bool {
	t.bound()
	isError := outcome == ServerError
	isClientError := isError && t.isFailing(tenant)
	if !onCanary && (isError || outcome == OK) {
		t.record(tenant, isError)
	}
	return isClientError
}

// isFailing reports whether a tenant has far more errors than the best one.
func (t *tenantErrorRates) isFailing(tenant int) bool {
	return t.rates[tenant]-t.lowest() > tenantErrorExcess
}

func (t *tenantErrorRates) bound() {
	if len(t.rates) > maxTenants {
		clear(t.rates)
	}
}

func (t *tenantErrorRates) record(tenant int, isError bool) {
	t.rates[tenant] = stats.MovingMean(t.rates[tenant], stats.Indicator(isError), tenantErrorWeight)
}

// lowest is the least error rate of any tenant, 1 where none is known.
func (t *tenantErrorRates) lowest() float64 {
	least := 1.0
	for _, rate := range t.rates {
		least = min(least, rate)
	}
	return least
}
