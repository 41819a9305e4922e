package proxy

import (
	"hash/maphash"
	"net/http"
	"sync"
	"time"
)

const (
	// minIDMemory is for how long ids are remembered at least, unless more than maxRememberedIDs are to be remembered in that time.
	minIDMemory = time.Minute
	// maxRememberedIDs bounds each of the two generations of remembered ids.
	maxRememberedIDs = 1 << 15
)

var (
	errOpenID  = &requestError{http.StatusConflict, "X-Request-Id is that of an open txn"}
	errSpentID = &requestError{http.StatusConflict, "X-Request-Id is that of an earlier request, which may have run"}
)

// requestIDSet holds the ids of the requests in flight, and remembers those of requests that may have run and must not run again. An endpoint
// would take a second request with the same id for a duplicate, and that request could get the reply to the first.
type requestIDSet struct {
	mu       sync.Mutex
	reserved map[string]bool
	spent    idMemory
}

func newRequestIDSet() *requestIDSet {
	return &requestIDSet{reserved: map[string]bool{}, spent: newIDMemory()}
}

// reserve reserves an id, unless it is that of a request in flight or of one that may have run.
func (s *requestIDSet) reserve(id string) *requestError {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.reserved[id]:
		return errOpenID
	case s.spent.contains(id):
		return errSpentID
	}
	s.reserved[id] = true
	return nil
}

// release ends the reservation of an id. A spent id can't be reserved again for some time.
func (s *requestIDSet) release(id string, isSpent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, id)
	if isSpent {
		s.spent.add(id, time.Now())
	}
}

// idMemory remembers the hashes of ids in two generations. If the newer one is full or has lasted minIDMemory, it replaces the older one.
type idMemory struct {
	seed         maphash.Seed
	newer, older map[uint64]bool
	newerSince   time.Time
}

func newIDMemory() idMemory {
	return idMemory{seed: maphash.MakeSeed(), newer: map[uint64]bool{}}
}

func (m *idMemory) contains(id string) bool {
	hash := maphash.String(m.seed, id)
	return m.newer[hash] || m.older[hash]
}

func (m *idMemory) add(id string, now time.Time) {
	if len(m.newer) >= maxRememberedIDs || now.Sub(m.newerSince) >= minIDMemory {
		m.older, m.newer, m.newerSince = m.newer, map[uint64]bool{}, now
	}
	m.newer[maphash.String(m.seed, id)] = true
}
