package election

import "testing"

// Revisions are ordered by term, and within a term by number. No revision is after itself.
func TestRevisionOrder(t *testing.T) {
	ordered := []revision{{}, {term: 0, number: 2}, {term: 1, number: 1}, {term: 1, number: 2}, {term: 2, number: 0}}
	for i, r := range ordered {
		for j, other := range ordered {
			if got := r.isAfter(other); got != (i > j) {
				t.Errorf("%+v is after %+v: got %t, want the opposite", r, other, got)
			}
		}
	}
}
