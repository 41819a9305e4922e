package admission

import "testing"

// A table knows the open requests and the size of their bodies, and reuses the records of those that were released.
func TestRequestTableReusesRecords(t *testing.T) {
	table := newRequestTable()
	first := table.add(Arrival{ID: 1, Bytes: 100})
	first.cost = 5
	second := table.add(Arrival{ID: 2, Bytes: 200})
	if table.get(1) != first || table.get(2) != second || table.bodyBytes != 300 {
		t.Errorf("open requests: %v, with %d bytes, want both with 300", table.byID, table.bodyBytes)
	}
	table.release(first)
	if table.get(1) != nil || table.bodyBytes != 200 {
		t.Errorf("after a release: request 1 is %v, %d bytes are counted, want none and 200", table.get(1), table.bodyBytes)
	}
	third := table.add(Arrival{ID: 3})
	if third != first {
		t.Error("the released record is not reused")
	}
	if third.cost != 0 || third.ID != 3 {
		t.Errorf("the reused record is not clean: %+v", third)
	}
}
