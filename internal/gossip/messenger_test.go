package gossip

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

// Datagrams are attributed to their sender. Datagrams from unknown senders and datagrams that are too long are dropped.
func TestDatagramsOfPeers(t *testing.T) {
	own, peer, unknown := listenUDP(t), listenUDP(t), listenUDP(t)
	ownAddress := own.LocalAddr().String()
	if err := own.Close(); err != nil {
		t.Fatal(err)
	}
	r := agenttest.NewRig(t, time.Second)
	messenger, err := NewMessenger(r.Loop, Config{Listen: ownAddress, Peers: []string{ownAddress, peer.LocalAddr().String()}})
	if err != nil {
		t.Fatal(err)
	}
	go messenger.Serve(r.Context())
	messenger.SendCommand(policy.SendGossip{To: 1, Payload: []byte("hello")})
	buffer := make([]byte, 300)
	if err := peer.SetReadDeadline(time.Now().Add(agenttest.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	n, from, err := peer.ReadFrom(buffer)
	if err != nil || string(buffer[:n]) != "hello" {
		t.Fatalf("peer received %q, error %v, want \"hello\"", buffer[:n], err)
	}
	send(t, unknown, []byte("who"), from)
	send(t, peer, make([]byte, 257), from)
	send(t, peer, []byte("yes"), from)
	agenttest.Eventually(t, "the message", func() bool { return len(agenttest.Events[policy.GossipReceived](r.Router)) > 0 })
	got := agenttest.Events[policy.GossipReceived](r.Router)
	if len(got) != 1 || got[0].From != 1 || string(got[0].Payload) != "yes" {
		t.Errorf("received %+v, want only \"yes\" from agent 1", got)
	}
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // fails if the test has already closed the connection
	return conn
}

func send(t *testing.T, conn *net.UDPConn, payload []byte, to net.Addr) {
	t.Helper()
	if _, err := conn.WriteTo(payload, to); err != nil {
		t.Fatal(err)
	}
}
