package proxy

import "sync"

// requestIDSet holds the ids of the requests in flight. An endpoint would take a second request with the same id for a duplicate, and that
// request could get the reply to the first.
type requestIDSet struct {
	mu       sync.Mutex
	reserved map[string]bool
}

func newRequestIDSet() *requestIDSet { return &requestIDSet{reserved: map[string]bool{}} }

// reserve reserves an id if it is free, and reports whether it did.
func (s *requestIDSet) reserve(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved[id] {
		return false
	}
	s.reserved[id] = true
	return true
}

func (s *requestIDSet) release(id string) {
	s.mu.Lock()
	delete(s.reserved, id)
	s.mu.Unlock()
}
