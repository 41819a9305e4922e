package admission

// Counters counts events since the start. No decision depends on them.
type Counters struct {
	Arrived   uint64
	Admitted  uint64
	Rejoined  uint64 // retries that joined an earlier attempt
	Coalesced uint64 // of those, retries that share the earlier attempt's answer
	Rejected  [reasonCount]uint64

	Reserved              uint64
	ReservationsHonored   uint64 // the client returned on time and was admitted at once
	ReservationsMissed    uint64 // the client returned on time and had to wait
	ReservationsUnclaimed uint64 // the client did not return on time
	EarlyRetries          uint64 // the client returned before its time

	Finished [resultCount]uint64 // requests that had been admitted, by result
}

// Status is a snapshot of the controller for metrics and logs.
type Status struct {
	Waiting      int
	InProgress   int
	Reservations int
	Limit        float64 // the concurrency limit
	Bytes        int64   // of the bodies of the requests that wait or are in progress
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
	Cost         float64 // of the requests that wait
	AdmittedCost float64 // admitted since the start
	ReservedCost float64 // reserved for times that have not come yet
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
