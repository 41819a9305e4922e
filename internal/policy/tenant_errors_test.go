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
		t.Error("the errors of a tenant that fails alone are blamed on the endpoint")
	}
	if tenants.classify(healthy, ServerError, false) {
		t.Error("an error of a healthy tenant is its own")
	}
	if tenants.classify(failing, TimedOut, false) {
		t.Error("a timeout is a client error")
	}
}

func TestErrorsOfACanaryAreNoTenants(t *testing.T) {
	tenants := newTenantErrorRates()
	for range 50 {
		tenants.classify(1, OK, false)
		if tenants.classify(2, ServerError, true) {
			t.Fatal("errors of a build in evaluation are blamed on the tenant")
		}
	}
}

func TestTenantsAreBounded(t *testing.T) {
	tenants := newTenantErrorRates()
	for tenant := range 5 * maxTenants {
		tenants.classify(tenant, OK, false)
		if len(tenants.rates) > maxTenants+1 {
			t.Fatalf("%d tenants are kept, want %d at most", len(tenants.rates), maxTenants+1)
		}
	}
}
