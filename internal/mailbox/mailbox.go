// Package mailbox provides an unbounded queue of messages, from which one goroutine takes batches in first-in, first-out order.
//
// A Mailbox belongs to the goroutine that takes from it. Any goroutine may put messages in.
package mailbox

import "sync"

// Mailbox holds messages for the one goroutine that takes them. Any goroutine may put messages in.
type Mailbox[T any] struct {
	mu       sync.Mutex
	messages []T
	ready    chan struct{} // holds at most one token, see Ready
}

// New returns an empty mailbox.
func New[T any]() *Mailbox[T] { return &Mailbox[T]{ready: make(chan struct{}, 1)} }

// Put adds a message. It never blocks for lack of space.
func (m *Mailbox[T]) Put(message T) {
	m.mu.Lock()
	m.messages = append(m.messages, message)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel that holds a token after a message was put. Whoever receives the token then calls Take. Take may
// return no messages: a Put between the receipt of a token and the following Take adds another token, although this Take already
// returns the message.
func (m *Mailbox[T]) Ready() <-chan struct{} { return m.ready }

// Take removes all messages and returns them in the order in which they were put. earlier is nil or a batch that an earlier call
// returned: Take clears it and reuses its memory for later messages, so the caller must not use it afterwards.
func (m *Mailbox[T]) Take(earlier []T) []T {
	clear(earlier)
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.messages
	m.messages = earlier[:0]
	return batch
}
