package faulttest

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"switchfork/internal/faulttest/netfault"
)

const (
	// subscriptionBuffer bounds how many versions a subscriber may be behind.
	subscriptionBuffer = 256
	// keepAliveInterval is how often an open answer says something when there is nothing to send.
	keepAliveInterval = time.Second
)

// delivery is a version that a fake server wrote to an agent. The agent has it once so many bytes of the connection were handed to it.
type delivery struct {
	agent   int
	bytes   int64
	at      netfault.Micros // written by the server
	version int             // of the endpoint list or of the rollout state
	conn    *countedConn
}

// subscription is an answer that stays open; the channel carries the versions to send.
type subscription struct {
	agent    int
	versions chan int
}

// broadcaster keeps the open answers of one server, each served by its own goroutine, and records what was sent and asked for.
type broadcaster struct {
	now           netfault.Clock
	mu            sync.Mutex
	subscriptions map[*subscription]bool
	deliveries    []delivery
	calls         []Call
}

func newBroadcaster(now netfault.Clock) broadcaster {
	return broadcaster{now: now, subscriptions: map[*subscription]bool{}}
}

func (b *broadcaster) recordCall(agent int, what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, Call{agent, b.now(), what})
}

func (b *broadcaster) snapshotCalls() []Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Call(nil), b.calls...)
}

func (b *broadcaster) snapshotDeliveries() []delivery {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.deliveries)
}

// publish has every subscriber be sent a version.
func (b *broadcaster) publish(version int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for sub := range b.subscriptions {
		select {
		case sub.versions <- version:
		default: // a subscriber that is so far behind is cut off: it asks again and gets the newest version
			delete(b.subscriptions, sub)
			close(sub.versions)
		}
	}
}

// send writes a version's text to an agent and records the delivery.
func (b *broadcaster) send(w http.ResponseWriter, conn *countedConn, version int, text string) {
	_, _ = io.WriteString(w, text) // a write that fails ends the request's context
	at := b.now()
	w.(http.Flusher).Flush()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deliveries = append(b.deliveries, delivery{conn.agent, conn.writtenBytes.Load(), at, version, conn})
}

// feed is what an open answer says.
type feed struct {
	text      func(agent, version int) string
	keepAlive string
}

// serve keeps an answer open: it sends the first version, then each one that is published.
func (b *broadcaster) serve(w http.ResponseWriter, r *http.Request, first int, feed feed) {
	conn := countedConnOf(r)
	sub := &subscription{conn.agent, make(chan int, subscriptionBuffer)}
	b.subscribe(sub)
	defer b.unsubscribe(sub)
	b.send(w, conn, first, feed.text(conn.agent, first))
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case version, isOpen := <-sub.versions:
			if !isOpen {
				return
			}
			b.send(w, conn, version, feed.text(conn.agent, version))
		case <-ticker.C:
			_, _ = io.WriteString(w, feed.keepAlive) // a write that fails ends the request's context
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func (b *broadcaster) subscribe(sub *subscription) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subscriptions[sub] = true
}

func (b *broadcaster) unsubscribe(sub *subscription) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.subscriptions, sub)
}
