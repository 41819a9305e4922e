package discovery

import (
	"fmt"
	"testing"

	"switchfork/internal/agenttest"
	"switchfork/internal/protocol"
)

// The numbers of hosts that are gone are released, so that no records of these hosts remain.
func TestGoneHostsReleaseTheirNumbers(t *testing.T) {
	publisher := newRig(t, "127.0.0.1:1").client.publisher
	entry := func(host, health string) protocol.ListEntry {
		return protocol.ListEntry{Host: host, Address: "127.0.0.1:1", Zone: agenttest.Zone, Health: health}
	}
	publisher.publish(protocol.List{Version: 1, IsFull: true, Entries: []protocol.ListEntry{entry("box", "active")}})
	for i := range 300 {
		host := fmt.Sprint("h", i)
		publisher.publish(protocol.List{Version: 2, Entries: []protocol.ListEntry{entry(host, "active"), {Host: "box", Health: "left"}}})
		if i%2 == 0 {
			publisher.publish(protocol.List{Version: 3, Entries: []protocol.ListEntry{entry(host, "left")}})
		}
	}
	publisher.publish(protocol.List{Version: 4, IsFull: true})
	if n := len(publisher.numbers.numberOfHost) + len(publisher.numbers.hostOfNumber); n != 0 {
		t.Errorf("got %d records of hosts that are gone, want none", n)
	}
}

// Each endpoint of an update is paired with its list entry by index. Both are sorted by host name, and invalid entries are skipped.
func TestUpdatePairsEndpointsWithEntries(t *testing.T) {
	publisher := newRig(t, "127.0.0.1:1").client.publisher
	update := publisher.endpointUpdate(protocol.List{Version: 1, IsFull: true, Entries: []protocol.ListEntry{
		{Host: "c", Address: "127.0.0.1:3", Zone: agenttest.Zone, Health: "active", Build: 3},
		{Host: "b", Address: "127.0.0.1:2", Zone: agenttest.Zone, Health: "unheard of", Build: 2},
		{Host: "a", Address: "127.0.0.1:1", Zone: agenttest.Zone, Health: "leaving", Build: 1},
	}})
	if len(update.Endpoints) != 2 || len(update.Entries) != 2 {
		t.Fatalf("got %d endpoints and %d entries, want 2 of each", len(update.Endpoints), len(update.Entries))
	}
	for i, host := range []string{"a", "c"} {
		endpoint, entry := update.Endpoints[i], update.Entries[i]
		if entry.Host != host || endpoint.ID != protocol.EndpointID(host) || endpoint.Build != entry.Build {
			t.Errorf("endpoint %+v is paired with entry %+v, want host %s", endpoint, entry, host)
		}
	}
}
