package election

// revision orders the records, or the sets of members, that leaders have issued: by term, and within a term by number. The number
// is the index of a record or the version of a set of members.
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
