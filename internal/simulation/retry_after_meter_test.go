package simulation

import (
	"slices"
	"testing"

	"switchfork/internal/admission"
)

// The needed wait of a rejected client ends when its tenant has been admitted as much further cost as was waiting or reserved at
// the rejection. A client that needed no wait is not measured.
func TestRetryAfterIsComparedWithNeededWait(t *testing.T) {
	meter := newRetryAfterMeter(2)
	status := admission.TenantStatus{AdmittedCost: 100, Cost: 20, ReservedCost: 5}
	meter.recordRejection(1*second, 1, status, 4*second)
	meter.recordRejection(2*second, 1, admission.TenantStatus{AdmittedCost: 130}, 1*second)
	meter.recordAdmittedCost(2*second, 0, 1000) // the cost of another tenant
	meter.recordAdmittedCost(2*second, 1, 124)
	if len(meter.ratios) != 0 {
		t.Errorf("got ratios %v before the cost is admitted, want none", meter.ratios)
	}
	meter.recordAdmittedCost(3*second, 1, 125)
	meter.recordAdmittedCost(4*second, 1, 130)
	if want := []float64{2, 0.5}; !slices.Equal(meter.ratios, want) {
		t.Errorf("got ratios %v, want %v", meter.ratios, want)
	}
	meter.recordRejection(5*second, 0, admission.TenantStatus{}, second)
	meter.recordAdmittedCost(5*second, 0, 0)
	if len(meter.ratios) != 2 {
		t.Errorf("got ratios %v, want none for a client that needed no wait", meter.ratios)
	}
}
