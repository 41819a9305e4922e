package admission

import "testing"

// The records know the open requests and the size of their bodies, and reuses the records of those that were released.
func TestRequestRecordsAreReused(t *testing.T) {
	records := newRequestRecords()
	first := records.add(Arrival{ID: 1, Bytes: 100})
	first.cost = 5
	second := records.add(Arrival{ID: 2, Bytes: 200})
	if records.get(1) != first || records.get(2) != second || records.bodyBytes != 300 {
		t.Errorf("open requests: %v, with %d bytes, want both with 300", records.byID, records.bodyBytes)
	}
	records.release(first)
	if records.get(1) != nil || records.bodyBytes != 200 {
		t.Errorf("after a release: request 1 is %v, %d bytes are counted, want none and 200", records.get(1), records.bodyBytes)
	}
	third := records.add(Arrival{ID: 3})
	if third != first {
		t.Error("the released record is not reused")
	}
	if third.cost != 0 || third.ID != 3 {
		t.Errorf("the reused record is not clean: %+v", third)
	}
}
