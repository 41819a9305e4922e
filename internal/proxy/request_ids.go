package proxy

import "sync"

// requestIDSet holds the ids of the requests in flight. A second request under one of them would be a copy to an endpoint, and could be
// handed the reply of the first.
type requestIDSet struct {
	mu       sync.Mutex
	reserved map[string]bool
}

func newRequestIDSet() *requestIDSet { return &requestIDSet{reserved: map[string]bool{}} }

// reserve reports whether the id was free, and takes it if so.
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
