package admission

import "testing"

// Records are reused with their old values, the last one put in first. An empty list returns new records.
func TestFreeListReusesRecords(t *testing.T) {
	var list freeList[int]
	first, second := list.take(), list.take()
	if first == second || *first != 0 {
		t.Fatalf("empty list: got %p with value %d and %p, want two new records", first, *first, second)
	}
	*first = 5
	list.put(second)
	list.put(first)
	if got := list.take(); got != first || *got != 5 {
		t.Errorf("first record taken: got %p with value %d, want %p with value 5", got, *got, first)
	}
	if got := list.take(); got != second {
		t.Errorf("second record taken: got %p, want %p", got, second)
	}
	if got := list.take(); got == first || got == second {
		t.Error("an empty list returned a record that is in use")
	}
}
