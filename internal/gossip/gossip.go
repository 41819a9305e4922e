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

const datagramLimit = 256 // the protocol's

// Messenger is the actor of that socket; with no address to listen on it drops what it is given.
type Messenger struct {
	core  *agent.Loop
	box   *mailbox.Mailbox[policy.SendGossip]
	sock  *net.UDPConn
	known []netip.AddrPort // by the agents' numbers
	all   netip.AddrPort
	other func([]byte) bool // takes what is not the module's; nil: nobody
}

// Intercept names who else uses the socket: it looks at each datagram first. It is to be called before Serve.
func (p *Messenger) Intercept(other func([]byte) bool) { p.other = other }

// Send sends bytes to an agent by its number.
func (p *Messenger) Send(to int, b []byte) { p.Post(policy.SendGossip{To: to, Payload: b}) }

func NewMessenger(core *agent.Loop, listen string, known []string, all string) (*Messenger, error) {
	p := &Messenger{core: core, box: mailbox.New[policy.SendGossip]()}
	if listen == "" {
		return p, nil
	}
	for _, a := range known {
		addr, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, fmt.Errorf("setting config.peers: %w", err)
		}
		p.known = append(p.known, addr)
	}
	var err error
	if all != "" {
		if p.all, err = netip.ParseAddrPort(all); err != nil {
			return nil, fmt.Errorf("setting config.peers_all: %w", err)
		}
	}
	own, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("setting config.peer_listen: %w", err)
	}
	if p.sock, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(own)); err != nil {
		return nil, fmt.Errorf("setting config.peer_listen: %w", err)
	}
	return p, nil
}

func (p *Messenger) Post(t policy.SendGossip) { p.box.Put(t) }

// Serve sends what the mailbox holds, and hands on what comes.
func (p *Messenger) Serve(ctx context.Context) {
	if p.sock != nil {
		go p.listen()
		defer p.sock.Close()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.box.Ready():
		}
		for _, t := range p.box.Take(nil) {
			p.send(t)
		}
	}
}

func (p *Messenger) send(t policy.SendGossip) {
	to := p.all
	if uint32(t.To) != math.MaxUint32 {
		if to = (netip.AddrPort{}); t.To >= 0 && t.To < len(p.known) {
			to = p.known[t.To]
		}
	}
	if p.sock == nil || !to.IsValid() || len(t.Payload) > datagramLimit {
		ratelog.Warn("tell", "message not sent", "to", t.To, "bytes", len(t.Payload))
		return
	}
	if _, err := p.sock.WriteToUDPAddrPort(t.Payload, to); err != nil {
		ratelog.Warn("tell", "message not sent", "to", t.To, "err", err)
	}
}

func (p *Messenger) listen() {
	buf := make([]byte, datagramLimit+1)
	for {
		n, from, err := p.sock.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // closed at the end; datagrams have no other
		}
		who := slices.Index(p.known, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if who < 0 || n > datagramLimit {
			ratelog.Warn("datagram", "datagram dropped", "from", from.String(), "bytes", n)
			continue
		}
		if p.other != nil && p.other(slices.Clone(buf[:n])) {
			continue
		}
		p.core.Post(policy.GossipReceived{From: who, Payload: slices.Clone(buf[:n])})
	}
}
