package upstream

import (
	"net"
	"testing"
	"time"

	"switchfork/internal/connlimit"
)

// testIdleTimeout is longer than a test takes.
const testIdleTimeout = time.Hour

func newTestIdlePool(descriptors int) *idlePool {
	return &idlePool{
		config:       &Config{IdleTimeout: testIdleTimeout, Budget: connlimit.NewBudget(descriptors)},
		requestSweep: func() {},
	}
}

// openConnection opens a connection that holds a descriptor of the pool's budget. It returns both ends.
func (p *idlePool) openConnection(t *testing.T) (conn *connection, server net.Conn) {
	t.Helper()
	if !p.acquireDescriptor() {
		t.Fatal("no descriptor left")
	}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // the connection has been accepted by then
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() }) // fails only if the pool has closed it already
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() }) // fails only if the test has closed it already
	return &connection{Conn: client, readNext: make(chan reserveFunc, 1)}, server
}

// upstreamsInUse returns the number of descriptors that the pool's connections hold.
func (p *idlePool) upstreamsInUse() int {
	_, upstreams := p.config.Budget.InUse()
	return upstreams
}

// A connection that was taken and put back unused has been idle since it was last used, and keeps its place: the endpoint may close it at the end
// of that time.
func TestUnusedConnectionStaysIdle(t *testing.T) {
	pool := newTestIdlePool(4)
	first, _ := pool.openConnection(t)
	second, _ := pool.openConnection(t)
	pool.add(first)
	pool.add(second)
	since := second.idleSince
	pool.take()
	pool.take()
	pool.putBack(second)
	pool.putBack(first)
	if second.idleSince != since {
		t.Errorf("the connection is idle since %v, want %v", second.idleSince, since)
	}
	if got := pool.take(); got != second {
		t.Errorf("got %p, want the connection that was used last, %p", got, second)
	}
}

// The connection that was used last is taken first, and none twice.
func TestLastUsedConnectionIsTakenFirst(t *testing.T) {
	pool := newTestIdlePool(4)
	first, _ := pool.openConnection(t)
	second, _ := pool.openConnection(t)
	pool.add(first)
	pool.add(second)
	for i, want := range []*connection{second, first, nil} {
		if got := pool.take(); got != want {
			t.Errorf("take %d: got %p, want %p", i, got, want)
		}
	}
	if n := pool.upstreamsInUse(); n != 2 {
		t.Errorf("%d descriptors in use, want those of the two open connections", n)
	}
}

// A connection with unrequested input and one that the endpoint may be about to close are closed instead of being taken. A connection that
// is still settling is kept.
func TestUnusableConnectionsAreNotTaken(t *testing.T) {
	pool := newTestIdlePool(4)
	withInput, server := pool.openConnection(t)
	expired, _ := pool.openConnection(t)
	settling, _ := pool.openConnection(t)
	for _, conn := range []*connection{withInput, expired, settling} {
		pool.add(conn)
	}
	pool.config.SettleTime = testIdleTimeout / 4
	withInput.idleSince = time.Now().Add(-testIdleTimeout / 3)
	expired.idleSince = time.Now().Add(-testIdleTimeout / idleSafetyFactor)
	if _, err := server.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); withInput.isOpenWithoutInput() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if got := pool.take(); got != nil {
		t.Errorf("took connection %p, want none", got)
	}
	if !withInput.isClosed || !expired.isClosed || settling.isClosed {
		t.Errorf("closed: %v with input, %v expired, %v settling; want the first two", withInput.isClosed, expired.isClosed, settling.isClosed)
	}
	if n := pool.upstreamsInUse(); n != 1 {
		t.Errorf("%d descriptors in use, want that of the settling connection", n)
	}
}

// A descriptor is released once, however often its connection is closed. If no descriptor is left, the connection that has been idle
// longest is closed to free one.
func TestDescriptorsAreReleasedOnce(t *testing.T) {
	pool := newTestIdlePool(2)
	oldest, _ := pool.openConnection(t)
	other, _ := pool.openConnection(t)
	pool.add(oldest)
	pool.add(other)
	if !pool.acquireDescriptor() || !oldest.isClosed || other.isClosed {
		t.Errorf("closed for a new connection: %v the oldest, %v the other; want true, false and a descriptor", oldest.isClosed, other.isClosed)
	}
	pool.close(oldest)
	pool.closeAll()
	pool.close(other)
	if n := pool.upstreamsInUse(); n != 1 {
		t.Errorf("%d descriptors in use, want that of the new connection", n)
	}
	if !pool.acquireDescriptor() || pool.acquireDescriptor() {
		t.Error("without idle connections: want one descriptor to be acquired and the next one refused")
	}
}
