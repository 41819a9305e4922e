package mailbox

import (
	"slices"
	"sync"
	"testing"
)

// Messages are taken in batches, in the order in which they were put. A token indicates that a message was put.
func TestTakeKeepsOrder(t *testing.T) {
	m := New[int]()
	select {
	case <-m.Ready():
		t.Error("an empty mailbox holds a token")
	default:
	}
	for i := range 3 {
		m.Put(i)
	}
	<-m.Ready()
	first := m.Take(nil)
	if !slices.Equal(first, []int{0, 1, 2}) {
		t.Errorf("first batch: got %v, want messages 0 to 2", first)
	}
	m.Put(3)
	if next := m.Take(first); !slices.Equal(next, []int{3}) {
		t.Errorf("second batch: got %v, want message 3", next)
	}
	if rest := m.Take(nil); len(rest) != 0 {
		t.Errorf("empty mailbox: got %v, want no messages", rest)
	}
}

// A batch that is passed back to Take is cleared, and its memory is reused for later messages.
func TestTakeReusesEarlierBatch(t *testing.T) {
	m := New[*int]()
	m.Put(new(int))
	batch := m.Take(nil)
	m.Take(batch)
	if batch[0] != nil {
		t.Error("the batch that was passed back still holds a message")
	}
	m.Put(new(int))
	if next := m.Take(nil); &next[0] != &batch[0] {
		t.Error("the memory of the batch that was passed back was not reused")
	}
}

// No message is lost if several goroutines put messages and one goroutine takes them whenever there is a token.
func TestConcurrentPuts(t *testing.T) {
	const writers, messagesEach = 8, 500
	m := New[int]()
	var writing sync.WaitGroup
	for writer := range writers {
		writing.Go(func() {
			for i := range messagesEach {
				m.Put(writer*messagesEach + i)
			}
		})
	}
	next := make([]int, writers) // the next expected message of each writer
	for taken := 0; taken < writers*messagesEach; {
		<-m.Ready()
		for _, message := range m.Take(nil) {
			writer, i := message/messagesEach, message%messagesEach
			if i != next[writer] {
				t.Fatalf("got message %d of writer %d, want %d", i, writer, next[writer])
			}
			next[writer]++
			taken++
		}
	}
	writing.Wait()
}
