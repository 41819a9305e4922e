package mailbox

import "sync"

// Mailbox is where an actor gets its notes; putting one never waits.
type Mailbox[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{} // holds one token while there are notes
}

func New[T any]() *Mailbox[T] { return &Mailbox[T]{ready: make(chan struct{}, 1)} }

func (m *Mailbox[T]) Put(n T) {
	m.mu.Lock()
	m.items = append(m.items, n)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// Ready holds one token while there are notes.
func (m *Mailbox[T]) Ready() <-chan struct{} { return m.ready }

// Take empties the mailbox into a slice; the one handed in is used again.
func (m *Mailbox[T]) Take(used []T) []T {
	clear(used)
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.items
	m.items = used[:0]
	return out
}
