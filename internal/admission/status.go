package admission

// Counters counts events since the process started. No decision depends on them.
type Counters struct {
	Arrived   uint64
	Admitted  uint64
	Rejoined  uint64 // retries that replaced a queued attempt or joined one in progress
	Coalesced uint64 // rejoined retries that share the earlier attempt's answer
	Rejected  [reasonCount]uint64

	Reserved              uint64
	ReservationsHonored   uint64 // reservations whose client returned on time and was admitted at once
	ReservationsMissed    uint64 // reservations whose client returned on time and had to wait
	ReservationsUnclaimed uint64 // reservations whose client returned too late or not at all
	EarlyRetries          uint64 // reservations whose client returned too early

	Finished [resultCount]uint64 // admitted requests that have finished, by result
}

// Status is a snapshot of the controller for metrics and logs.
type Status struct {
	Waiting      int
	InProgress   int
	Reservations int
	Limit        float64 // the concurrency limit
	Bytes        int64   // total size of the bodies of open requests
}

// Status returns a snapshot of the controller.
func (c *Controller) Status() Status {
	return Status{
		Waiting:      c.waiting.count,
		InProgress:   c.concurrency.inProgress,
		Reservations: c.reservations.count(),
		Limit:        c.concurrency.current,
		Bytes:        c.requests.bodyBytes,
	}
}

// TenantStatus is a snapshot of one tenant. Costs are in microseconds of work.
type TenantStatus struct {
	Waiting      int
	Cost         float64 // total cost of the waiting requests
	AdmittedCost float64 // total cost of the requests admitted since the process started
	ReservedCost float64 // total cost reserved in the current calendar slot and later ones
}

// Tenant returns a snapshot of the tenant with the given index.
func (c *Controller) Tenant(tenant int) TenantStatus {
	queues := c.waiting.queues.tenants[tenant]
	return TenantStatus{
		Waiting:      queues.waitingCount,
		Cost:         queues.waitingCost,
		AdmittedCost: queues.admittedCost,
		ReservedCost: c.reservations.outstandingCost(tenant, c.now),
	}
}
