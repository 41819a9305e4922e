package simulation

import "switchfork/internal/admission"

// retryAfterMeter compares the Retry-After times of rejected requests with the waits that were needed. A needed wait ends when
// the tenant's admitted cost reaches the sum of the costs that had been admitted, were waiting or were reserved at the rejection.
type retryAfterMeter struct {
	rejections [][]waitingClient // by tenant, in the order of rejection
	ratios     []float64         // Retry-After divided by the needed wait
}

// waitingClient is a client that was rejected with a Retry-After.
type waitingClient struct {
	targetCost float64 // admitted cost of the tenant at which the needed wait ends
	retryAfter float64
	rejectedAt int64
}

func newRetryAfterMeter(tenants int) *retryAfterMeter {
	return &retryAfterMeter{rejections: make([][]waitingClient, tenants)}
}

// recordRejection records that a client was sent a Retry-After.
func (m *retryAfterMeter) recordRejection(now int64, tenant int, status admission.TenantStatus, retryAfter int64) {
	m.rejections[tenant] = append(m.rejections[tenant], waitingClient{
		targetCost: status.AdmittedCost + status.Cost + status.ReservedCost,
		retryAfter: float64(retryAfter),
		rejectedAt: now,
	})
}

// recordAdmittedCost ends the waits of the tenant's clients whose target cost has been admitted.
func (m *retryAfterMeter) recordAdmittedCost(now int64, tenant int, admittedCost float64) {
	waiting := m.rejections[tenant]
	for len(waiting) > 0 && admittedCost >= waiting[0].targetCost {
		if needed := float64(now - waiting[0].rejectedAt); needed > 0 {
			m.ratios = append(m.ratios, waiting[0].retryAfter/needed)
		}
		waiting = waiting[1:]
	}
	m.rejections[tenant] = waiting
}
