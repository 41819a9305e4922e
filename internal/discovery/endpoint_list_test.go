package discovery

import (
	"fmt"
	"testing"

	"switchfork/internal/agenttest"
	"switchfork/internal/protocol"
)

// No records are kept of hosts that are gone.
func TestGoneHostsReleaseTheirNumbers(t *testing.T) {
	publisher := newRig(t, "127.0.0.1:1").client.publisher
	entry := func(host, health string) protocol.ListEntry {
		return protocol.ListEntry{Host: host, Dial: "127.0.0.1:1", Site: agenttest.Zone, Health: health}
	}
	publisher.publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{entry("box", "active")}})
	for i := range 300 {
		host := fmt.Sprint("h", i)
		publisher.publish(protocol.List{Seq: 2, Hosts: []protocol.ListEntry{entry(host, "active"), {Host: "box", Health: "left"}}})
		if i%2 == 0 {
			publisher.publish(protocol.List{Seq: 3, Hosts: []protocol.ListEntry{entry(host, "left")}})
		}
	}
	publisher.publish(protocol.List{Seq: 4, Whole: true})
	if n := len(publisher.numbers.numberOfHost) + len(publisher.numbers.hostOfNumber); n != 0 {
		t.Errorf("%d records are kept", n)
	}
}

// Each endpoint of an update has its own list entry beside it, in the order of the hosts' names and without those that can't be read.
func TestUpdatePairsEndpointsWithEntries(t *testing.T) {
	publisher := newRig(t, "127.0.0.1:1").client.publisher
	update := publisher.endpointUpdate(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{
		{Host: "c", Dial: "127.0.0.1:3", Site: agenttest.Zone, Health: "active", Build: 3},
		{Host: "b", Dial: "127.0.0.1:2", Site: agenttest.Zone, Health: "unheard of", Build: 2},
		{Host: "a", Dial: "127.0.0.1:1", Site: agenttest.Zone, Health: "leaving", Build: 1},
	}})
	if len(update.Endpoints) != 2 || len(update.Entries) != 2 {
		t.Fatalf("%d endpoints with %d entries, want 2 of each", len(update.Endpoints), len(update.Entries))
	}
	for i, host := range []string{"a", "c"} {
		endpoint, entry := update.Endpoints[i], update.Entries[i]
		if entry.Host != host || endpoint.ID != protocol.EndpointID(host) || endpoint.Build != entry.Build {
			t.Errorf("endpoint %+v stands beside entry %+v, want host %s", endpoint, entry, host)
		}
	}
}
