package admission

// freeList keeps records that are not needed any more for their next use, so that steady traffic allocates none.
type freeList[T any] []*T

// take returns the record that was put in last, or a new one. A record that was used before has its fields as they were.
func (l *freeList[T]) take() *T {
	last := len(*l) - 1
	if last < 0 {
		return new(T)
	}
	record := (*l)[last]
	*l = (*l)[:last]
	return record
}

// put makes a record available. Its fields stay as they are until it is taken.
func (l *freeList[T]) put(record *T) { *l = append(*l, record) }
