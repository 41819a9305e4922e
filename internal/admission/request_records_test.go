package admission

import "testing"

// requestRecords returns the open requests, adds up the sizes of their bodies, and reuses released records.
func TestRequestRecordsAreReused(t *testing.T) {
	records := newRequestRecords()
	first := records.add(Arrival{ID: 1, Bytes: 100})
	first.cost = 5
	second := records.add(Arrival{ID: 2, Bytes: 200})
	if records.get(1) != first || records.get(2) != second || records.bodyBytes != 300 {
		t.Errorf("got open requests %v with %d bytes, want requests 1 and 2 with 300", records.byID, records.bodyBytes)
	}
	records.release(first)
	if records.get(1) != nil || records.bodyBytes != 200 {
		t.Errorf("after the release of request 1: got %v and %d bytes, want nil and 200", records.get(1), records.bodyBytes)
	}
	third := records.add(Arrival{ID: 3})
	if third != first {
		t.Error("the released record was not reused")
	}
	if third.cost != 0 || third.ID != 3 {
		t.Errorf("got reused record %+v, want ID 3 and all other fields zero", third)
	}
}
