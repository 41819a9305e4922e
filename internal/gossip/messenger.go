package gossip

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"

	"switchfork/internal/agent"
	"switchfork/internal/mailbox"
	"switchfork/internal/policy"
	"switchfork/internal/ratelog"
)

const (
	// maxDatagramBytes is the protocol's limit on the size of a message.
	maxDatagramBytes = 256
	// broadcastIndex is the peer index that stands for all agents, as an unsigned 32-bit number.
	broadcastIndex = math.MaxUint32
)

// Messenger exchanges messages with the other agents. Without an address to listen on, it drops the messages that it is asked to send.
type Messenger struct {
	loop        *agent.Loop
	mailbox     *mailbox.Mailbox[policy.SendGossip]
	socket      *net.UDPConn     // nil: no address to listen on
	peers       []netip.AddrPort // addresses of the agents, by their indices
	broadcast   netip.AddrPort
	interceptor func([]byte) bool // nil: none
}

// Config holds the agents' addresses, each an IP address and a port.
type Config struct {
	Listen    string   // this agent's own address; empty: it exchanges no messages
	Peers     []string // by the agents' indices
	Broadcast string   // address that reaches all agents; may be empty
}

// NewMessenger returns a messenger. Its socket is open if config.Listen is set.
func NewMessenger(loop *agent.Loop, config Config) (*Messenger, error) {
	m := &Messenger{loop: loop, mailbox: mailbox.New[policy.SendGossip]()}
	if config.Listen == "" {
		return m, nil
	}
	if err := m.parsePeers(config); err != nil {
		return nil, err
	}
	own, err := netip.ParseAddrPort(config.Listen)
	if err != nil {
		return nil, fmt.Errorf("setting config.peer_listen: %w", err)
	}
	if m.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(own)); err != nil {
		return nil, fmt.Errorf("setting config.peer_listen: %w", err)
	}
	return m, nil
}

// parsePeers sets the addresses to which messages are sent.
func (m *Messenger) parsePeers(config Config) error {
	for _, peer := range config.Peers {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			return fmt.Errorf("setting config.peers: %w", err)
		}
		m.peers = append(m.peers, address)
	}
	if config.Broadcast == "" {
		return nil
	}
	address, err := netip.ParseAddrPort(config.Broadcast)
	if err != nil {
		return fmt.Errorf("setting config.peers_all: %w", err)
	}
	m.broadcast = address
	return nil
}

// Intercept sets a function that is called with each datagram from an agent, before the datagram is passed to the event loop. A datagram for
// which interceptor returns true is not passed on. Intercept must be called before Serve.
func (m *Messenger) Intercept(interceptor func([]byte) bool) { m.interceptor = interceptor }

// Send sends a payload to the agent whose index is to.
func (m *Messenger) Send(to int, payload []byte) {
	m.SendCommand(policy.SendGossip{To: to, Payload: payload})
}

// SendCommand queues the message that a command of the router asks for.
func (m *Messenger) SendCommand(command policy.SendGossip) { m.mailbox.Put(command) }

// Serve sends the messages in the mailbox, and passes received datagrams to the event loop, until the context ends.
func (m *Messenger) Serve(ctx context.Context) {
	if m.socket != nil {
		go m.receive()
		defer func() { _ = m.socket.Close() }() // nothing is sent after this, so an error has no consequence
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.mailbox.Ready():
		}
		for _, command := range m.mailbox.Take(nil) {
			m.send(command)
		}
	}
}

func (m *Messenger) send(command policy.SendGossip) {
	address := m.address(command.To)
	canSend := m.socket != nil && address.IsValid() && len(command.Payload) <= maxDatagramBytes
	if !canSend {
		ratelog.Warn("gossip", "gossip not sent", "to", command.To, "bytes", len(command.Payload))
		return
	}
	if _, err := m.socket.WriteToUDPAddrPort(command.Payload, address); err != nil {
		ratelog.Warn("gossip", "gossip not sent", "to", command.To, "err", err)
	}
}

// address returns the address to which messages for the given peer index are sent, or an invalid address if there is none.
func (m *Messenger) address(index int) netip.AddrPort {
	switch {
	case uint32(index) == broadcastIndex:
		return m.broadcast
	case index >= 0 && index < len(m.peers):
		return m.peers[index]
	}
	return netip.AddrPort{}
}

// receive passes datagrams on until the socket is closed. It identifies a sender by its address. A datagram that does not come from an
// agent, or is too long, is dropped.
func (m *Messenger) receive() {
	buffer := make([]byte, maxDatagramBytes+1) // one byte more, to detect a datagram that is too long
	for {
		size, sender, err := m.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // the socket is closed; reading datagrams returns no other error
		}
		from := slices.Index(m.peers, netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port()))
		if from < 0 || size > maxDatagramBytes {
			ratelog.Warn("datagram", "datagram dropped", "from", sender.String(), "bytes", size)
			continue
		}
		isIntercepted := m.interceptor != nil && m.interceptor(slices.Clone(buffer[:size]))
		if isIntercepted {
			continue
		}
		m.loop.Enqueue(policy.GossipReceived{From: from, Payload: slices.Clone(buffer[:size])})
	}
}
