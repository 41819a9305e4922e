package discovery

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
)

// A watch that ends is opened again from the last received version. Version numbers may have gaps, a list that is not newer is dropped, and
// after a line that can't be decoded the full list is fetched.
func TestWatchResumesFromLastVersion(t *testing.T) {
	server := agenttest.NewStreamServer(t, "\n", 50*time.Millisecond, func(target string) string {
		if !strings.Contains(target, "stream") {
			return fakes.ListDocument(30, true, firstHost("active", 9))
		}
		return fakes.ListDocument(12, false, firstHost("active", 3))
	})
	r := newRig(t, server.Addr())
	r.serveWithInitialList(t, fakes.ListDocument(10, true, firstHost("active", 1)))
	agenttest.Eventually(t, "the first change", func() bool { return len(r.builds()) == 2 })
	server.Publish(fakes.ListDocument(11, false, firstHost("active", 2)) + fakes.ListDocument(20, false, firstHost("leaving", 4)))
	agenttest.Eventually(t, "the second change", func() bool { return len(r.builds()) == 3 })
	server.CloseStreams()
	agenttest.Eventually(t, "the next watch", func() bool { return server.CallsContaining("stream=1&index=20") == 1 })
	agenttest.Eventually(t, "the next watch's stream", func() bool { return server.OpenedStreams() == 1 })
	server.Publish("{\"seq\":21,\"hosts\":[" + "\n")
	agenttest.Eventually(t, "the full list", func() bool { return len(r.builds()) == 4 })
	if got := r.builds(); got[1] != 3 || got[2] != 4 || got[3] != 9 {
		t.Errorf("got builds %v, want 3, 4 and 9 after the configured one", got)
	}
	agenttest.Eventually(t, "the watch from the full list on", func() bool { return server.CallsContaining("index=30") > 0 })
}

// A discovery server that reports overload is called again within Config.PollWithin but not at once, because otherwise all agents would
// retry together.
func TestOverloadedDiscoveryIsNotRetriedAtOnce(t *testing.T) {
	var calls atomic.Int64
	overloaded := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		http.Error(w, "full", http.StatusServiceUnavailable)
	}))
	defer overloaded.Close()
	loop := agent.NewLoop(&agenttest.Router{}, agent.NewClock())
	client := NewClient(loop, Config{
		Address:     overloaded.Listener.Addr().String(),
		Zones:       []string{agenttest.Zone},
		DialTimeout: time.Second,
		PollWithin:  8 * time.Second,
		AgentCount:  1,
		Seed:        1,
	})
	go client.Serve(t.Context())
	time.Sleep(1200 * time.Millisecond) // the second call is made 2 to 6 s after the first
	if n := calls.Load(); n != 1 {
		t.Errorf("got %d calls in 1.2 s, want 1", n)
	}
}

// A list may span several lines, whether it is full or holds changes.
func TestListsOverSeveralLines(t *testing.T) {
	fullList := indented(t, fakes.ListDocument(5, true, firstHost("active", 1), secondHost("active")))
	server := agenttest.NewStreamServer(t, "\n", 50*time.Millisecond, onlyFullList(fullList))
	r := newRig(t, server.Addr())
	r.serveWithInitialList(t, "")
	r.awaitHosts(t, 2, 1)
	agenttest.Eventually(t, "the watch", func() bool { return server.OpenedStreams() == 1 })
	server.Publish(indented(t, fakes.ListDocument(6, false, firstHost("active", 2))))
	r.awaitHosts(t, 2, 2)
	server.Publish(fakes.ListDocument(7, false, firstHost("active", 3)) + indented(t, fakes.ListDocument(8, false, secondHost("left"))))
	r.awaitHosts(t, 1, 3)
	if n := server.CallsContaining(""); n != 2 {
		t.Errorf("got calls %q, want 2", server.Calls())
	}
}

// A truncated list is detected at the next heartbeat or list, and the full list is fetched.
func TestTruncatedListIsFetchedAgain(t *testing.T) {
	truncated, _, found := strings.Cut(indented(t, fakes.ListDocument(6, false, firstHost("leaving", 7))), `"health"`)
	if !found {
		t.Fatal("the list document has no health field at which to truncate it")
	}
	for name, rest := range map[string]string{
		"then a heartbeat":      "\n",
		"then a list":           fakes.ListDocument(7, false, firstHost("leaving", 8)),
		"then an indented list": indented(t, fakes.ListDocument(7, false, firstHost("leaving", 8))),
	} {
		t.Run(name, func(t *testing.T) {
			fullList := fakes.ListDocument(9, true, firstHost("active", 9))
			server := agenttest.NewStreamServer(t, "\n", 50*time.Millisecond, onlyFullList(fullList))
			r := newRig(t, server.Addr())
			r.serveWithInitialList(t, fakes.ListDocument(5, true, firstHost("active", 1)))
			agenttest.Eventually(t, "the watch", func() bool { return server.OpenedStreams() == 1 })
			server.Publish(truncated + "\n" + rest)
			r.awaitHosts(t, 1, 9)
			for _, update := range agenttest.Events[policy.EndpointUpdate](r.Router) {
				for _, endpoint := range update.Endpoints {
					if endpoint.Build == 7 {
						t.Errorf("published endpoint %+v from a truncated list", endpoint)
					}
				}
			}
		})
	}
}

// The control plane assumes that the agent knows a change 6 s after the last line of its watch, so a silent watch has to be replaced well
// before that. A silent watch used to be ended after three heartbeat intervals and opened again after a delay, 6.06 s after its last line.
// Ending it after two intervals cut off a discovery server that was 3 s slow in the middle of a list. A second watch is therefore opened after
// two intervals, while the silent one is still read.
func TestSilentWatchIsReopened(t *testing.T) {
	drainingList := fakes.ListDocument(6, false, firstHost("leaving", 1))
	server := agenttest.NewStreamServer(t, "\n", time.Hour, func(string) string { return "\n" })
	r := newRig(t, server.Addr())
	if err := r.client.PublishInitial([]byte(fakes.ListDocument(5, true, firstHost("active", 1)))); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	go r.client.Serve(r.Context())
	agenttest.Eventually(t, "the next watch", func() bool { return server.CallsContaining("stream=1&index=5") == 2 })
	agenttest.Eventually(t, "the next watch's stream", func() bool { return server.OpenedStreams() == 2 || server.Closed() == 1 })
	server.Publish(drainingList)
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)
	if took := time.Since(start); took < heartbeatInterval || took > 3*heartbeatInterval-heartbeatInterval/4 {
		t.Errorf("the drain was published after %v, want 1 to 2.75 heartbeat intervals", took)
	}
}
