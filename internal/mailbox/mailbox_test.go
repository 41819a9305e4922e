package mailbox

import (
	"slices"
	"sync"
	"testing"
)

// Messages come out in the order in which they were put, a batch at a time, and a token says that there are some.
func TestTakeKeepsOrder(t *testing.T) {
	m := New[int]()
	select {
	case <-m.Ready():
		t.Error("an empty mailbox is ready")
	default:
	}
	for i := range 3 {
		m.Put(i)
	}
	<-m.Ready()
	first := m.Take(nil)
	if !slices.Equal(first, []int{0, 1, 2}) {
		t.Errorf("took %v", first)
	}
	m.Put(3)
	if next := m.Take(first); !slices.Equal(next, []int{3}) {
		t.Errorf("took %v, want the message after the first batch", next)
	}
	if rest := m.Take(nil); len(rest) != 0 {
		t.Errorf("took %v of an empty mailbox", rest)
	}
}

// The memory of a batch is reused by messages that come after it was given back, and holds none of its messages any more.
func TestTakeReusesEarlierBatch(t *testing.T) {
	m := New[*int]()
	m.Put(new(int))
	batch := m.Take(nil)
	m.Take(batch)
	if batch[0] != nil {
		t.Error("a batch that was given back holds a message")
	}
	m.Put(new(int))
	if next := m.Take(nil); &next[0] != &batch[0] {
		t.Error("its memory is not reused")
	}
}

// No message is lost where several goroutines put and one takes at each token.
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
	next := make([]int, writers) // by writer: the message that is to come
	for taken := 0; taken < writers*messagesEach; {
		<-m.Ready()
		for _, message := range m.Take(nil) {
			writer, i := message/messagesEach, message%messagesEach
			if i != next[writer] {
				t.Fatalf("message %d of writer %d came, want %d", i, writer, next[writer])
			}
			next[writer]++
			taken++
		}
	}
	writing.Wait()
}
