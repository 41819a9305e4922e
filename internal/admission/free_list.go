package admission

// freeList keeps unused records for reuse, so that a steady load of requests causes no allocations.
type freeList[T any] []*T

// take removes and returns the record that was put in last, or returns a new one if the list is empty. The fields of a reused
// record still have their old values.
func (l *freeList[T]) take() *T {
	last := len(*l) - 1
	if last < 0 {
		return new(T)
	}
	record := (*l)[last]
	*l = (*l)[:last]
	return record
}

// put makes a record available for reuse. Its fields keep their values until it is taken.
func (l *freeList[T]) put(record *T) { *l = append(*l, record) }
