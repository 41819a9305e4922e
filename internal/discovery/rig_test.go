package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

// rig is a test setup with an event loop and a discovery client.
type rig struct {
	*agenttest.Rig
	client *Client
}

func newRig(t *testing.T, discovery string) *rig {
	t.Helper()
	r := &rig{Rig: agenttest.NewRig(t, time.Second)}
	r.client = NewClient(r.Loop, Config{
		Address: discovery, Zones: []string{agenttest.Zone}, DialTimeout: time.Second, AgentCount: 1, Seed: 1,
	})
	return r
}

// serveWithInitialList publishes an initial list, which may be empty, and runs the client until the end of the test.
func (r *rig) serveWithInitialList(t *testing.T, list string) {
	t.Helper()
	if err := r.client.PublishInitial([]byte(list)); err != nil {
		t.Fatal(err)
	}
	go r.client.Serve(r.Context())
}

// endpoints returns the endpoints that the router knows of, by endpoint ID.
func (r *rig) endpoints() map[uint32]policy.Endpoint {
	out := map[uint32]policy.Endpoint{}
	for _, update := range agenttest.Events[policy.EndpointUpdate](r.Router) {
		if update.Full {
			clear(out)
		}
		for _, endpoint := range update.Endpoints {
			out[endpoint.ID] = endpoint
			if endpoint.State == policy.Gone {
				delete(out, endpoint.ID)
			}
		}
	}
	return out
}

// builds returns the build of each endpoint in the router's endpoint updates, in the order in which they were received.
func (r *rig) builds() (out []int) {
	for _, update := range agenttest.Events[policy.EndpointUpdate](r.Router) {
		for _, endpoint := range update.Endpoints {
			out = append(out, endpoint.Build)
		}
	}
	return out
}

// awaitHosts waits until the router knows of the given number of hosts and the host "box" has the given build.
func (r *rig) awaitHosts(t *testing.T, hosts, build int) {
	t.Helper()
	agenttest.Eventually(t, fmt.Sprintf("a list of %d hosts with build %d", hosts, build), func() bool {
		endpoints := r.endpoints()
		return len(endpoints) == hosts && endpoints[protocol.EndpointID("box")].Build == build
	})
}

// hasDrainingEndpoint reports whether the router knows of a draining endpoint.
func (r *rig) hasDrainingEndpoint() bool {
	for _, endpoint := range r.endpoints() {
		if endpoint.State == policy.Draining {
			return true
		}
	}
	return false
}

// readList decodes a list document.
func readList(t *testing.T, document string) protocol.List {
	t.Helper()
	list, err := protocol.ReadList([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// firstHost returns a list entry for the host "box".
func firstHost(health string, build int) string {
	return fakes.ListEntry("box", "127.0.0.1:1", health, build)
}

// secondHost returns a list entry for the host "box2" with build 1.
func secondHost(health string) string {
	return fakes.ListEntry("box2", "127.0.0.1:2", health, 1)
}

// indented returns a list indented over several lines.
func indented(t *testing.T, list string) string {
	t.Helper()
	var out bytes.Buffer
	if err := json.Indent(&out, []byte(strings.TrimSpace(list)), "", "  "); err != nil {
		t.Fatal(err)
	}
	return out.String() + "\n"
}

// onlyFullList returns an answer function for a stream server. It answers a call for the full list with list, and sends nothing when a watch
// is opened.
func onlyFullList(list string) func(target string) string {
	return func(target string) string {
		if strings.Contains(target, "stream") {
			return ""
		}
		return list
	}
}
