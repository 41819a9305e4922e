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
	// subscriptionBuffer limits how many versions a subscriber may lag behind.
	subscriptionBuffer = 256
	// keepAliveInterval is how often a keep-alive is sent on an open response.
	keepAliveInterval = time.Second
)

// delivery is a version that a fake server wrote to an agent. The agent has received the version once the relay has delivered as many
// bytes of the connection as the field bytes says.
type delivery struct {
	agent   int
	bytes   int64           // number of bytes written on the connection up to and including this version's text
	at      netfault.Micros // when the server wrote the version
	version int             // version of the endpoint list or of the rollout state
	conn    *countedConn
}

// subscription is an open response to an agent; the channel carries the versions to send.
type subscription struct {
	agent    int
	versions chan int
}

// broadcaster manages the open responses of one server and sends each published version on all of them. Each response is served by its
// own goroutine. The broadcaster also records the versions that were sent and the calls that were received.
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

// publish queues a version for every subscriber.
func (b *broadcaster) publish(version int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for sub := range b.subscriptions {
		select {
		case sub.versions <- version:
		default: // a subscriber that lags too far behind is disconnected; it calls again and gets the newest version
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

// feed defines what is sent on an open response.
type feed struct {
	text      func(agent, version int) string
	keepAlive string
}

// serve keeps a response open: it sends the first version, then each version that is published.
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
