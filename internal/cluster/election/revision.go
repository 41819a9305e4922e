package election

// revision is the place of a record, or of a set of members, among all that leaders have issued: by the term, and by the number
// within the term.
type revision struct {
	term   uint64
	number uint32
}

func (r revision) isAfter(other revision) bool {
	if r.term != other.term {
		return r.term > other.term
	}
	return r.number > other.number
}
