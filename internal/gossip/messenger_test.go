package gossip

import (
	"net"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

// Datagrams are known by their sender; others are dropped.
func TestPeers(t *testing.T) {
	mine, other, strange := udp(t), udp(t), udp(t)
	own := mine.LocalAddr().String()
	mine.Close()
	r := agenttest.NewRig(t, time.Second)
	p, err := NewMessenger(r.Loop, own, []string{own, other.LocalAddr().String()}, "")
	if err != nil {
		t.Fatal(err)
	}
	go p.Serve(r.Context)
	p.Post(policy.SendGossip{To: 1, Payload: []byte("hello")})
	buf := make([]byte, 300)
	other.SetReadDeadline(time.Now().Add(agenttest.Patience))
	n, from, err := other.ReadFrom(buf)
	if err != nil || string(buf[:n]) != "hello" {
		t.Fatalf("got %q, %v", buf[:n], err)
	}
	strange.WriteTo([]byte("who"), from)
	other.WriteTo(make([]byte, 257), from)
	other.WriteTo([]byte("yes"), from)
	agenttest.Eventually(t, "the message", func() bool { return len(agenttest.Events[policy.GossipReceived](r.Router)) > 0 })
	if h := agenttest.Events[policy.GossipReceived](r.Router); len(h) != 1 || h[0].From != 1 || string(h[0].Payload) != "yes" {
		t.Errorf("heard %+v", h)
	}
}

func udp(t *testing.T) net.PacketConn {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}
