package policy

import "testing"

func TestErrorsOfAFailingTenantAreItsOwn(t *testing.T) {
	tenants := newTenantErrorRates()
	const healthy, failing = 1, 2
	isClientError := false
	for range 20 {
		tenants.classify(healthy, OK, false)
		isClientError = tenants.classify(failing, ServerError, false)
	}
	if !isClientError {
		t.Error("a server error of the only failing tenant is not classified as the tenant's fault")
	}
	if tenants.classify(healthy, ServerError, false) {
		t.Error("a server error of a healthy tenant is classified as the tenant's fault")
	}
	if tenants.classify(failing, TimedOut, false) {
		t.Error("a timeout is classified as the tenant's fault")
	}
}

func TestErrorsOfACanaryAreNoTenants(t *testing.T) {
	tenants := newTenantErrorRates()
	for range 50 {
		tenants.classify(1, OK, false)
		if tenants.classify(2, ServerError, true) {
			t.Fatal("a server error of a build in evaluation is classified as the tenant's fault")
		}
	}
}

func TestTenantsAreBounded(t *testing.T) {
	tenants := newTenantErrorRates()
	for tenant := range 5 * maxTenants {
		tenants.classify(tenant, OK, false)
		if len(tenants.rates) > maxTenants+1 {
			t.Fatalf("tenants with an error rate: got %d, want at most %d", len(tenants.rates), maxTenants+1)
		}
	}
}
