package connlimit

import "testing"

// A reservation grows while the budget has memory left. Large reservations leave a part of the budget to small ones. A reservation ends with its
// last holder.
func TestMemoryBudget(t *testing.T) {
	const limit = 8 * smallReservationBytes
	budget := NewMemoryBudget(limit)
	large := budget.Reserve()
	if !large.RaiseTo(limit/2) || !large.RaiseTo(limit/4) || budget.InUse() != limit/2 {
		t.Errorf("got %d bytes in use, want %d: a reservation does not shrink", budget.InUse(), limit/2)
	}
	if large.RaiseTo(limit*largeShare + 1) {
		t.Error("a large reservation has filled more than its share")
	}
	if !large.RaiseTo(limit * largeShare) {
		t.Error("a large reservation did not get its share")
	}
	finishing := budget.Reserve()
	total := float64(limit)
	left := int64(total*finishingShare) - int64(total*largeShare)
	if !finishing.RaiseToFinish(left) || finishing.RaiseToFinish(left+1) {
		t.Error("a request that will end with its response did not get its share of the budget, or got more")
	}
	finishing.Release()
	var small []*Reservation
	for budget.InUse() < limit {
		reservation := budget.Reserve()
		if !reservation.RaiseTo(smallReservationBytes) {
			t.Fatalf("a small reservation got nothing with %d of %d bytes in use", budget.InUse(), limit)
		}
		small = append(small, reservation)
	}
	if budget.Reserve().RaiseTo(1) {
		t.Error("the budget gave more than its limit")
	}
	large.Hold()
	large.Release()
	if budget.InUse() != limit {
		t.Error("a reservation with a holder was released")
	}
	large.Release()
	for _, reservation := range small {
		reservation.Release()
	}
	if budget.InUse() != 0 {
		t.Errorf("got %d bytes in use after all reservations were released, want 0", budget.InUse())
	}
}

// Clients may be limited to fewer connections than their share of the descriptors.
func TestLimitClients(t *testing.T) {
	budget := NewBudget(20)
	budget.LimitClients(8)
	if budget.MaxClients() != 8 || budget.MaxRequests() != 7 {
		t.Errorf("got %d connections and %d requests, want 8 and 7", budget.MaxClients(), budget.MaxRequests())
	}
}
