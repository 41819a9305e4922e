package discovery

import (
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
)

// newSilentRig returns a client whose first watch, from version 5 on, is silent, so that a second one has been opened beside it. What is
// published on the server reaches the watch that was opened last.
func newSilentRig(t *testing.T, firstLine func(target string) string) (r *rig, server *fakes.StreamServer, first *watcher) {
	t.Helper()
	server = agenttest.NewStreamServer(t, "\n", time.Hour, firstLine)
	r = newRig(t, server.Addr())
	first = r.client.current
	r.serveKnown(t, fakes.ListDocument(5, true, firstHost("active", 1)))
	agenttest.Eventually(t, "the first watch", func() bool { return server.OpenedStreams() == 1 })
	r.client.mailbox.Put(watchSilent{from: first})
	agenttest.Eventually(t, "the second watch", func() bool { return server.OpenedStreams() == 2 })
	return r, server, first
}

func noLine(string) string { return "" }

// A silent watch is read on beside the second one: what it brings is published, and the second one is closed, as the first was only slow.
func TestSilentWatchWakesUp(t *testing.T) {
	r, server, first := newSilentRig(t, noLine)
	first.report(listReceived{from: first, list: readList(t, fakes.ListDocument(6, false, firstHost("leaving", 1)))})
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)
	agenttest.Eventually(t, "the second watch's end", func() bool { return server.Closed() == 1 })
	if first.isRetired() {
		t.Error("the first watch is not opened again when it ends")
	}
}

// The second watch takes the first one's place with its first line. What the first brings after that is older and is dropped.
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

// Where the second watch is silent as well, a third takes its place; the first is still read.
func TestSecondWatchIsSilent(t *testing.T) {
	r, server, first := newSilentRig(t, noLine)
	r.client.mailbox.Put(watchSilent{from: first}) // as the second one reports it
	agenttest.Eventually(t, "the third watch", func() bool { return server.OpenedStreams() == 3 })
	agenttest.Eventually(t, "the second watch's end", func() bool { return server.Closed() == 1 })
	server.Publish(fakes.ListDocument(6, false, firstHost("leaving", 1)))
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)
}

// Where the silent watch ends before the second one has brought a line, the second one stays. Where there is none, one is opened.
func TestSilentWatchEnds(t *testing.T) {
	r, server, first := newSilentRig(t, noLine)
	r.client.mailbox.Put(watcherEnded{from: first})
	server.Publish(fakes.ListDocument(6, false, firstHost("leaving", 1)))
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)

	r, server, first = newSilentRig(t, noLine)
	r.client.mailbox.Put(heartbeatReceived{from: first}) // it closes the second one, and has ended when it is resumed
	r.client.mailbox.Put(watcherEnded{from: first})
	agenttest.Eventually(t, "another watch", func() bool { return server.OpenedStreams() == 3 })
	server.Publish(fakes.ListDocument(6, false, firstHost("leaving", 1)))
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)
}

// A move to another address ends the second watch at the old one. The silent first one is read until the new address has proved itself.
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
		t.Errorf("calls of the old address: %q", server.Calls())
	}
	next.Publish(fakes.ListDocument(7, false, secondHost("active")))
	agenttest.Eventually(t, "the first watch's end", func() bool { return server.Closed() == 2 })
}
