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
