package standin

import (
	"io"
	"net"
	"sync"
)

// Relay hands TCP connections on to an address, and may be cut: its connections then end, and new ones lead nowhere.
type Relay struct {
	l      net.Listener
	target string
	mu     sync.Mutex
	cut    bool
	open   map[net.Conn]bool
}

// NewRelay starts one.
func NewRelay(target string) (*Relay, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	r := &Relay{l: l, target: target, open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.join(c)
		}
	}()
	return r, nil
}

func (r *Relay) Addr() string { return r.l.Addr().String() }

func (r *Relay) join(in net.Conn) {
	defer in.Close()
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	if cut {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	r.mu.Lock()
	r.open[in] = true
	r.mu.Unlock()
	go func() { io.Copy(in, out); in.Close() }()
	io.Copy(out, in)
	r.mu.Lock()
	delete(r.open, in)
	r.mu.Unlock()
}

// Cut ends all connections and lets no new one through, or lets them through again.
func (r *Relay) Cut(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut = on; on {
		for c := range r.open {
			c.Close()
		}
	}
}

// Close ends it.
func (r *Relay) Close() {
	r.Cut(true)
	r.l.Close()
}
