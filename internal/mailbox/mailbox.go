// Package mailbox holds an unbounded queue from which a goroutine takes its messages in batches, in the order in which they were put.
//
// A Mailbox belongs to the goroutine that takes from it; any goroutine may put messages in.
package mailbox

import "sync"

// Mailbox keeps messages for the one goroutine that takes them. Any goroutine may put messages in, which never blocks.
type Mailbox[T any] struct {
	mu       sync.Mutex
	messages []T
	ready    chan struct{} // holds one token while there are messages
}

// New makes an empty mailbox.
func New[T any]() *Mailbox[T] { return &Mailbox[T]{ready: make(chan struct{}, 1)} }

// Put adds a message.
func (m *Mailbox[T]) Put(message T) {
	m.mu.Lock()
	m.messages = append(m.messages, message)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// Ready is a channel that holds one token while there are messages. Take may still find none: a message that came between the receipt of
// a token and Take leaves another token.
func (m *Mailbox[T]) Ready() <-chan struct{} { return m.ready }

// Take removes all messages and returns them in the order in which they came. It reuses the memory of an earlier batch, which must not be
// used any more; nil where there is none.
func (m *Mailbox[T]) Take(earlier []T) []T {
	clear(earlier)
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.messages
	m.messages = earlier[:0]
	return batch
}
