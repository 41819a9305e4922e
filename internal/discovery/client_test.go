package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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
	"switchfork/internal/protocol"
)

// A watch that ends goes on from the last version; numbers may be skipped, nothing old is told again, and after a
// line that can't be read the whole list is fetched.
func TestWatchResumesFromLastVersion(t *testing.T) {
	d := agenttest.NewStreamServer(t, "\n", 50*time.Millisecond, func(asked string) string {
		if !strings.Contains(asked, "stream") {
			return fakes.ListDocument(30, true, fakes.ListEntry("box", "127.0.0.1:1", "active", 9))
		}
		return fakes.ListDocument(12, false, fakes.ListEntry("box", "127.0.0.1:1", "active", 3))
	})
	r := newRig(t, d.Addr())
	if err := r.client.Known([]byte(fakes.ListDocument(10, true, fakes.ListEntry("box", "127.0.0.1:1", "active", 1)))); err != nil {
		t.Fatal(err)
	}
	go r.client.Serve(r.Context)
	builds := func() (out []int) {
		for _, l := range agenttest.Events[policy.EndpointUpdate](r.Router) {
			for _, row := range l.Endpoints {
				out = append(out, row.Build)
			}
		}
		return out
	}
	agenttest.Eventually(t, "the first change", func() bool { return len(builds()) == 2 })
	d.Publish(fakes.ListDocument(11, false, fakes.ListEntry("box", "127.0.0.1:1", "active", 2)) + fakes.ListDocument(20, false, fakes.ListEntry("box", "127.0.0.1:1", "leaving", 4)))
	agenttest.Eventually(t, "the second change", func() bool { return len(builds()) == 3 })
	d.CloseStreams()
	agenttest.Eventually(t, "the watch again", func() bool { return d.CallsContaining("stream=1&index=20") == 1 })
	agenttest.Eventually(t, "its stream", func() bool { return d.Open() == 1 })
	d.Publish("{\"seq\":21,\"hosts\":[" + "\n")
	agenttest.Eventually(t, "the whole list", func() bool { return len(builds()) == 4 })
	if got := builds(); got[1] != 3 || got[2] != 4 || got[3] != 9 {
		t.Errorf("builds told: %v", got)
	}
	agenttest.Eventually(t, "the watch from the whole list on", func() bool { return d.CallsContaining("index=30") > 0 })
}

// A discovery that says it is full is asked again in the told time, not at once: all agents ask alike.
func TestOverloadedDiscoveryIsNotRetriedAtOnce(t *testing.T) {
	var calls atomic.Int64
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		http.Error(w, "full", http.StatusServiceUnavailable)
	}))
	defer full.Close()
	client := NewClient(agent.NewLoop(&agenttest.Router{}, agent.NewClock()), full.Listener.Addr().String(), []string{"suva"}, time.Second, 8*time.Second, 1, 1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go client.Serve(ctx)
	time.Sleep(1200 * time.Millisecond) // the next call is due 2 to 6 s after the first
	if n := calls.Load(); n != 1 {
		t.Errorf("%d calls in 1.2 s", n)
	}
}

// These hold the list's side to its word over real connections.

// rig is an event loop with a discovery client.
type rig struct {
	*agenttest.Rig
	client *Client
}

func newRig(t *testing.T, discovery string) *rig {
	t.Helper()
	r := &rig{Rig: agenttest.NewRig(t, time.Second)}
	r.client = NewClient(r.Loop, discovery, []string{agenttest.Zone}, time.Second, 0, 1, 1)
	return r
}

// indented is a list over several lines.
func indented(list string) string {
	var out bytes.Buffer
	if err := json.Indent(&out, []byte(strings.TrimSpace(list)), "", "  "); err != nil {
		panic(err)
	}
	return out.String() + "\n"
}

// endpoints are what the module was last told of each host's build and state, by number.
func (r *rig) endpoints() map[uint32]policy.Endpoint {
	out := map[uint32]policy.Endpoint{}
	for _, l := range agenttest.Events[policy.EndpointUpdate](r.Router) {
		if l.Full {
			clear(out)
		}
		for _, row := range l.Endpoints {
			if out[row.ID] = row; row.State == policy.Gone {
				delete(out, row.ID)
			}
		}
	}
	return out
}

// awaitHosts waits until the module knows of so many hosts, and of the box with this build.
func (r *rig) awaitHosts(t *testing.T, hosts, build int) {
	t.Helper()
	agenttest.Eventually(t, fmt.Sprintf("a list of %d with build %d", hosts, build), func() bool {
		s := r.endpoints()
		return len(s) == hosts && s[protocol.EndpointID("box")].Build == build
	})
}

// Lists may come over several lines, whole as well as changes.
func TestListsOverSeveralLines(t *testing.T) {
	two := indented(fakes.ListDocument(5, true, fakes.ListEntry("box", "127.0.0.1:1", "active", 1), fakes.ListEntry("box2", "127.0.0.1:2", "active", 1)))
	d := agenttest.NewStreamServer(t, "\n", 50*time.Millisecond, func(asked string) string {
		if strings.Contains(asked, "stream") {
			return ""
		}
		return two
	})
	r := newRig(t, d.Addr())
	if err := r.client.Known(nil); err != nil {
		t.Fatal(err)
	}
	go r.client.Serve(r.Context)
	r.awaitHosts(t, 2, 1)
	agenttest.Eventually(t, "the watch", func() bool { return d.Open() == 1 })
	d.Publish(indented(fakes.ListDocument(6, false, fakes.ListEntry("box", "127.0.0.1:1", "active", 2))))
	r.awaitHosts(t, 2, 2)
	d.Publish(fakes.ListDocument(7, false, fakes.ListEntry("box", "127.0.0.1:1", "active", 3)) + indented(fakes.ListDocument(8, false, fakes.ListEntry("box2", "127.0.0.1:2", "left", 1))))
	r.awaitHosts(t, 1, 3)
	if n := d.CallsContaining(""); n != 2 {
		t.Errorf("asked %q", d.Targets())
	}
}

// A list that lacks its end is found out by the next sign of life or the next list, and the whole list is fetched.
func TestTruncatedListIsFetchedAgain(t *testing.T) {
	cut := indented(fakes.ListDocument(6, false, fakes.ListEntry("box", "127.0.0.1:1", "leaving", 7)))
	cut = cut[:strings.Index(cut, `"health"`)]
	for name, rest := range map[string]string{
		"then a sign": "\n", "then a list": fakes.ListDocument(7, false, fakes.ListEntry("box", "127.0.0.1:1", "leaving", 8)),
		"then an indented one": indented(fakes.ListDocument(7, false, fakes.ListEntry("box", "127.0.0.1:1", "leaving", 8))),
	} {
		t.Run(name, func(t *testing.T) {
			d := agenttest.NewStreamServer(t, "\n", 50*time.Millisecond, func(asked string) string {
				if strings.Contains(asked, "stream") {
					return ""
				}
				return fakes.ListDocument(9, true, fakes.ListEntry("box", "127.0.0.1:1", "active", 9))
			})
			r := newRig(t, d.Addr())
			if err := r.client.Known([]byte(fakes.ListDocument(5, true, fakes.ListEntry("box", "127.0.0.1:1", "active", 1)))); err != nil {
				t.Fatal(err)
			}
			go r.client.Serve(r.Context)
			agenttest.Eventually(t, "the watch", func() bool { return d.Open() == 1 })
			d.Publish(cut + "\n" + rest)
			r.awaitHosts(t, 1, 9)
			for _, l := range agenttest.Events[policy.EndpointUpdate](r.Router) {
				for _, row := range l.Endpoints {
					if row.Build == 7 {
						t.Errorf("told %+v, of which half came", row)
					}
				}
			}
		})
	}
}

// newMovingRig is a rig that knows of version 5 and has been told a drain as version 9, before it moves to a discovery that is at version 7.
func newMovingRig(t *testing.T, sign time.Duration) (r *rig, old, new *fakes.StreamServer) {
	silent := func(string) string { return "" }
	old = agenttest.NewStreamServer(t, "\n", time.Hour, silent)
	new = agenttest.NewStreamServer(t, "\n", sign, func(asked string) string {
		if strings.Contains(asked, "stream") {
			return ""
		}
		return fakes.ListDocument(7, true, fakes.ListEntry("box", "127.0.0.1:1", "active", 1), fakes.ListEntry("box2", "127.0.0.1:2", "active", 1))
	})
	r = newRig(t, old.Addr())
	if err := r.client.Known([]byte(fakes.ListDocument(5, true, fakes.ListEntry("box", "127.0.0.1:1", "active", 1)))); err != nil {
		t.Fatal(err)
	}
	go r.client.Serve(r.Context)
	agenttest.Eventually(t, "the old watch", func() bool { return old.Open() == 1 })
	old.Publish(fakes.ListDocument(9, false, fakes.ListEntry("box", "127.0.0.1:1", "leaving", 1)))
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)
	r.client.Move(new.Addr())
	return r, old, new
}

// hasDrainingEndpoint tells whether the module knows that the box drains.
func (r *rig) hasDrainingEndpoint() bool {
	for _, row := range r.endpoints() {
		if row.State == policy.Draining {
			return true
		}
	}
	return false
}

// A discovery that is behind does not take a drain back: its whole list is held until its watch has brought it as far.
func TestMoveToOlderList(t *testing.T) {
	r, old, new := newMovingRig(t, time.Hour)
	agenttest.Eventually(t, "the new watch", func() bool { return new.CallsContaining("index=7") == 1 && new.Open() == 1 })
	done := make(chan struct{}) // all that the new one has brought is handled
	r.client.mailbox.Put(barrierReceived{agent.Barrier{Done: done}})
	<-done
	r.Loop.Flush(r.Context)
	if !r.hasDrainingEndpoint() || old.Closed() != 0 {
		t.Fatalf("the older list is in force: %+v", r.endpoints())
	}
	old.Publish(fakes.ListDocument(10, false, fakes.ListEntry("box", "127.0.0.1:1", "leaving", 2))) // which goes on telling
	r.awaitHosts(t, 1, 2)
	new.Publish(fakes.ListDocument(9, false, fakes.ListEntry("box", "127.0.0.1:1", "leaving", 1)))
	new.Publish(fakes.ListDocument(11, false, fakes.ListEntry("box", "127.0.0.1:1", "leaving", 3), fakes.ListEntry("box3", "127.0.0.1:3", "left", 1)))
	r.awaitHosts(t, 2, 3)
	agenttest.Eventually(t, "the end of the old watch", func() bool { return old.Closed() == 1 })
	for i, l := range agenttest.Events[policy.EndpointUpdate](r.Router) {
		for _, row := range l.Endpoints {
			if i > 1 && row.ID == protocol.EndpointID("box") && row.State != policy.Draining {
				t.Errorf("list %d takes the drain back: %+v", i, row)
			}
		}
	}
}

// A discovery that counts otherwise is believed with its first sign of life.
func TestMoveToOtherVersionNumbers(t *testing.T) {
	r, old, new := newMovingRig(t, 50*time.Millisecond)
	r.awaitHosts(t, 2, 1)
	agenttest.Eventually(t, "the end of the old watch", func() bool { return old.Closed() == 1 })
	new.Publish(fakes.ListDocument(8, false, fakes.ListEntry("box", "127.0.0.1:1", "active", 5)))
	r.awaitHosts(t, 2, 5)
}

// A watch that falls silent is opened anew well before what it misses counts as told, 6 s after its last line.
func TestSilentWatchIsReopened(t *testing.T) {
	drainingList := fakes.ListDocument(6, false, fakes.ListEntry("box", "127.0.0.1:1", "leaving", 1))
	d := agenttest.NewStreamServer(t, "\n", time.Hour, func(string) string { return "\n" })
	r := newRig(t, d.Addr())
	if err := r.client.Known([]byte(fakes.ListDocument(5, true, fakes.ListEntry("box", "127.0.0.1:1", "active", 1)))); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	go r.client.Serve(r.Context)
	agenttest.Eventually(t, "the watch again", func() bool { return d.CallsContaining("stream=1&index=5") == 2 })
	agenttest.Eventually(t, "its stream", func() bool { return d.Open() == 2 || d.Closed() == 1 })
	d.Publish(drainingList)
	agenttest.Eventually(t, "the drain", r.hasDrainingEndpoint)
	if took := time.Since(start); took < heartbeatInterval || took > 3*heartbeatInterval-heartbeatInterval/4 {
		t.Errorf("the drain came %v after the last line", took)
	}
}

// Hosts that come and go leave no number behind.
func TestGoneHostsReleaseTheirNumbers(t *testing.T) {
	r := newRig(t, "127.0.0.1:1")
	first := protocol.ListEntry{Host: "box", Dial: "127.0.0.1:1", Site: "suva", Health: "active"}
	r.client.publisher.publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{first}})
	for i := range 300 {
		host := protocol.ListEntry{Host: fmt.Sprint("h", i), Dial: "127.0.0.1:1", Site: "suva", Health: "active"}
		r.client.publisher.publish(protocol.List{Seq: 2, Hosts: []protocol.ListEntry{host, {Host: "box", Health: "left"}}})
		if host.Health = "left"; i%2 == 0 {
			r.client.publisher.publish(protocol.List{Seq: 3, Hosts: []protocol.ListEntry{host}})
		}
	}
	r.client.publisher.publish(protocol.List{Seq: 4, Whole: true})
	numbers := r.client.publisher.numbers
	if n := len(numbers.numberOfHost) + len(numbers.hostOfNumber); n != 0 {
		t.Errorf("%d records are kept", n)
	}
}
