package discovery

import (
	"testing"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

// newMovingRig returns a client that was configured with version 5 of the list, has received a drain in version 9, and then moves to the
// address of a discovery server that is at version 7.
func newMovingRig(t *testing.T, heartbeat time.Duration) (r *rig, previous, next *fakes.StreamServer) {
	t.Helper()
	previous = agenttest.NewStreamServer(t, "\n", time.Hour, func(string) string { return "" })
	olderList := fakes.ListDocument(7, true, firstHost("active", 1), secondHost("active"))
	next = agenttest.NewStreamServer(t, "\n", heartbeat, onlyFullList(olderList))
	r = newRig(t, previous.Addr())
	r.serveWithInitialList(t, fakes.ListDocument(5, true, firstHost("active", 1)))
	agenttest.Eventually(t, "the previous watch", func() bool { return previous.OpenedStreams() == 1 })
	previous.Publish(fakes.ListDocument(9, false, firstHost("leaving", 1)))
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)
	r.client.Move(next.Addr())
	return r, previous, next
}

// Moving to a discovery server with an older list does not revoke a drain. The full list of the new server is held back until the new
// server's watch has brought that list to the published version.
func TestMoveToOlderList(t *testing.T) {
	r, previous, next := newMovingRig(t, time.Hour)
	agenttest.Eventually(t, "the next watch", func() bool { return next.CallsContaining("index=7") == 1 && next.OpenedStreams() == 1 })
	handled := make(chan struct{}) // closed when all that the next server has sent has been handled
	r.client.mailbox.Put(barrierReceived{agent.Barrier{Done: handled}})
	<-handled
	r.Loop.Flush(r.Context())
	if !r.hasDrainingEndpoint() || previous.Closed() != 0 {
		t.Fatalf("got endpoints %+v after an older full list, want the drain kept and the previous watch open", r.endpoints())
	}
	previous.Publish(fakes.ListDocument(10, false, firstHost("leaving", 2))) // the previous watch is still read
	r.awaitHosts(t, 1, 2)
	next.Publish(fakes.ListDocument(9, false, firstHost("leaving", 1)))
	next.Publish(fakes.ListDocument(11, false, firstHost("leaving", 3), fakes.ListEntry("box3", "127.0.0.1:3", "left", 1)))
	r.awaitHosts(t, 2, 3)
	agenttest.Eventually(t, "the end of the previous watch", func() bool { return previous.Closed() == 1 })
	for i, update := range agenttest.Events[policy.EndpointUpdate](r.Router) {
		for _, endpoint := range update.Endpoints {
			if i > 1 && endpoint.ID == protocol.EndpointID("box") && endpoint.State != policy.Draining {
				t.Errorf("update %d revokes the drain: %+v", i, endpoint)
			}
		}
	}
}

// The version numbers at the new address may be unrelated to those at the old one. The list is then published at the first heartbeat.
func TestMoveToOtherVersionNumbers(t *testing.T) {
	r, previous, next := newMovingRig(t, 50*time.Millisecond)
	r.awaitHosts(t, 2, 1)
	agenttest.Eventually(t, "the end of the previous watch", func() bool { return previous.Closed() == 1 })
	next.Publish(fakes.ListDocument(8, false, firstHost("active", 5)))
	r.awaitHosts(t, 2, 5)
}
