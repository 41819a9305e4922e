package election

import "testing"

// The term comes first; the number counts within a term. Nothing is after itself.
func TestRevisionOrder(t *testing.T) {
	ordered := []revision{{}, {term: 0, number: 2}, {term: 1, number: 1}, {term: 1, number: 2}, {term: 2, number: 0}}
	for i, r := range ordered {
		for j, other := range ordered {
			if got := r.isAfter(other); got != (i > j) {
				t.Errorf("%+v after %+v: %t", r, other, got)
			}
		}
	}
}
