package admission

import "testing"

// Records are used again, the last one first, with their fields as they were; without any, new ones are made.
func TestFreeListReusesRecords(t *testing.T) {
	var list freeList[int]
	first, second := list.take(), list.take()
	if first == second || *first != 0 {
		t.Fatalf("an empty list gives %p with %d and %p, want two new records", first, *first, second)
	}
	*first = 5
	list.put(second)
	list.put(first)
	if got := list.take(); got != first || *got != 5 {
		t.Errorf("the first record taken is %p with %d, want %p with 5", got, *got, first)
	}
	if got := list.take(); got != second {
		t.Errorf("the second record taken is %p, want %p", got, second)
	}
	if got := list.take(); got == first || got == second {
		t.Error("a record that is in use was taken again")
	}
}
