package discovery

import (
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
)

// newSilentRig returns a client whose first watch, from version 5 on, has been reported as silent, so that a second watch has been opened. What
// the server publishes is sent on the watch that was opened last.
func newSilentRig(t *testing.T, firstLine func(target string) string) (r *rig, server *fakes.StreamServer, first *watcher) {
	t.Helper()
	server = agenttest.NewStreamServer(t, "\n", time.Hour, firstLine)
	r = newRig(t, server.Addr())
	first = r.client.current
	r.serveWithInitialList(t, fakes.ListDocument(5, true, firstHost("active", 1)))
	agenttest.Eventually(t, "the first watch", func() bool { return server.OpenedStreams() == 1 })
	r.client.mailbox.Put(watchSilent{from: first})
	agenttest.Eventually(t, "the second watch", func() bool { return server.OpenedStreams() == 2 })
	return r, server, first
}

func noLine(string) string { return "" }

// A silent watch is still read while the second one is open. If a list arrives on the silent watch, the watch was only slow: the list is
// published and the second watch is closed.
func TestSilentWatchRecovers(t *testing.T) {
	r, server, first := newSilentRig(t, noLine)
	first.report(listReceived{from: first, list: readList(t, fakes.ListDocument(6, false, firstHost("leaving", 1)))})
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)
	agenttest.Eventually(t, "the second watch's end", func() bool { return server.Closed() == 1 })
	if first.isRetired() {
		t.Error("the first watcher is retired, want it to open its watch again when it ends")
	}
}

// The second watch replaces the first watch when a line arrives on the second watch. A list that the first watch reports after that is
// older and is dropped.
func TestSecondWatchTakesOver(t *testing.T) {
	r, server, first := newSilentRig(t, noLine)
	server.Publish(fakes.ListDocument(7, false, firstHost("leaving", 1)))
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)
	agenttest.Eventually(t, "the first watch's end", func() bool { return server.Closed() == 1 })
	first.report(listReceived{from: first, list: readList(t, fakes.ListDocument(6, false, firstHost("active", 1)))})
	server.Publish(fakes.ListDocument(8, false, secondHost("active")))
	r.awaitHosts(t, 2, 1)
	if !r.hasDrainingEndpoint() {
		t.Error("an older list of the silent watch revoked the drain")
	}
}

// If the second watch is silent as well, a third watch replaces the second. The first watch is still read.
func TestSecondWatchIsSilent(t *testing.T) {
	r, server, first := newSilentRig(t, noLine)
	r.client.mailbox.Put(watchSilent{from: first}) // has the same effect as a report by the second watcher
	agenttest.Eventually(t, "the third watch", func() bool { return server.OpenedStreams() == 3 })
	agenttest.Eventually(t, "the second watch's end", func() bool { return server.Closed() == 1 })
	server.Publish(fakes.ListDocument(6, false, firstHost("leaving", 1)))
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)
}

// If the silent watch ends before a line has arrived on the second watch, the second watch replaces the silent one. If there is no second
// watch, another watch is opened.
func TestSilentWatchEnds(t *testing.T) {
	r, server, first := newSilentRig(t, noLine)
	r.client.mailbox.Put(watcherEnded{from: first})
	server.Publish(fakes.ListDocument(6, false, firstHost("leaving", 1)))
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)

	r, server, first = newSilentRig(t, noLine)
	r.client.mailbox.Put(heartbeatReceived{from: first}) // closes the second watch; the first watcher ends before it is resumed
	r.client.mailbox.Put(watcherEnded{from: first})
	agenttest.Eventually(t, "another watch", func() bool { return server.OpenedStreams() == 3 })
	server.Publish(fakes.ListDocument(6, false, firstHost("leaving", 1)))
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)
}

// A move to another address ends the second watch at the old address. The silent first watch is read until the list of the new address is
// published.
func TestMoveWhileWatchIsSilent(t *testing.T) {
	r, server, first := newSilentRig(t, noLine)
	next := agenttest.NewStreamServer(t, "\n", time.Hour, onlyFullList(fakes.ListDocument(4, true, firstHost("active", 1))))
	r.client.Move(next.Addr())
	agenttest.Eventually(t, "the second watch's end", func() bool { return server.Closed() == 1 })
	agenttest.Eventually(t, "the watch at the new address", func() bool { return next.OpenedStreams() == 1 })
	r.client.mailbox.Put(watchSilent{from: first})
	first.report(listReceived{from: first, list: readList(t, fakes.ListDocument(6, false, firstHost("leaving", 1)))})
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)
	if n := server.CallsContaining(""); n != 2 {
		t.Errorf("got calls %q at the old address, want 2", server.Calls())
	}
	next.Publish(fakes.ListDocument(7, false, secondHost("active")))
	agenttest.Eventually(t, "the first watch's end", func() bool { return server.Closed() == 2 })
}
