package netfault

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Clock gives the time since a rig's start.
type Clock func() Micros

// Stream relays TCP connections from one party to one address, each byte subject to what is wrong with its direction. While a
// way drops everything or is silent, new connections never come up. What a handshake over a slow way would cost is not played.
type Stream struct {
	There, Back *Way
	from        int
	l           net.Listener
	dial        net.Dialer
	target      string
	now         Clock
	mu          sync.Mutex
	traces      []*Trace
	open        map[*joint]bool
	closed      chan struct{}
	wait        sync.WaitGroup
	mute        *mute
}

// Host is the address of loopback that a party's relays dial from, so that the far end knows who speaks; Party is its inverse.
func Host(party int) net.IP { return net.IPv4(127, 0, byte(1+party/250), byte(1+party%250)) }

// Party is who speaks from an address, -1 for one that is no relay's.
func Party(a net.Addr) int {
	t, is := a.(*net.TCPAddr)
	if !is {
		return -1
	}
	ip := t.IP.To4()
	if ip == nil || ip[2] == 0 || ip[3] == 0 {
		return -1
	}
	return int(ip[2]-1)*250 + int(ip[3]) - 1
}

// NewStream starts a relay for a party to an address.
func NewStream(from int, target string, seed int64, now Clock) (*Stream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Stream{
		There: NewWay(seed), Back: NewWay(^seed), from: from, l: l, target: target, now: now, open: map[*joint]bool{},
		closed: make(chan struct{}), dial: net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: Host(from)}},
	}
	s.mute = newMute(s.l.(*net.TCPListener), s.closed)
	s.wait.Go(s.accept)
	s.wait.Go(s.watch)
	return s, nil
}

// Addr is where the party reaches the relay.
func (s *Stream) Addr() string { return s.l.Addr().String() }

// Traces are those of all connections so far.
func (s *Stream) Traces() []*Trace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Trace(nil), s.traces...)
}

// Close ends the relay and all that it started.
func (s *Stream) Close() {
	s.mu.Lock()
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	for j := range s.open {
		j.close()
	}
	s.mu.Unlock()
	s.l.Close()
	s.wait.Wait()
}

func (s *Stream) accept() {
	for {
		c, err := s.l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if s.mute.rest() {
				continue
			}
			return
		}
		if err != nil {
			return
		}
		if s.mute.filler(c) {
			c.Close()
			continue
		}
		j := &joint{s: s, near: c.(*net.TCPConn), over: make(chan struct{}), trace: &Trace{From: s.from, Opened: s.now()}}
		s.mu.Lock()
		select {
		case <-s.closed:
			s.mu.Unlock()
			c.Close()
			return
		default:
		}
		s.open[j], s.traces = true, append(s.traces, j.trace)
		s.wait.Add(1)
		s.mu.Unlock()
		go func() {
			defer s.wait.Done()
			j.serve()
			s.mu.Lock()
			delete(s.open, j)
			s.mu.Unlock()
		}()
	}
}

// watch has new connections never come up while they could not.
func (s *Stream) watch() {
	for {
		there, _, changed := s.There.Fault()
		back, _, turned := s.Back.Fault()
		if s.mute.set(there.Drop || there.Silent || back.Drop || back.Silent) {
			s.There.act()
			s.Back.act()
		}
		select {
		case <-changed:
		case <-turned:
		case <-s.closed:
			s.mute.set(false)
			return
		}
	}
}

// joint is one connection through a relay.
type joint struct {
	s         *Stream
	near, far *net.TCPConn
	trace     *Trace
	once      sync.Once
	over      chan struct{}
	nearGone  atomic.Bool // its end has come in
}

// close ends both sides; reset does it so that the other end sees it as such.
func (j *joint) close() {
	j.once.Do(func() {
		close(j.over)
		j.near.Close()
		j.trace.mu.Lock()
		far := j.far
		j.trace.mu.Unlock()
		if far != nil {
			far.Close()
		}
	})
}

func (j *joint) reset() {
	j.trace.mu.Lock()
	j.trace.broken = true
	far := j.far
	j.trace.mu.Unlock()
	j.near.SetLinger(0)
	if far != nil {
		far.SetLinger(0)
	}
	j.close()
}

// piece is a part of a stream on its way; nil bytes are its end.
type piece struct {
	bytes []byte
	at    Micros
}

func (j *joint) serve() {
	defer func() {
		j.close()
		j.trace.mu.Lock()
		j.trace.over = true
		j.trace.mu.Unlock()
	}()
	s := j.s
	// Reading begins at once: who gives up while nothing passes has never had a connection.
	var pumps sync.WaitGroup
	up, room := make(chan piece, queuedBytes/pieceMost), make(chan struct{})
	pumps.Go(func() { j.read(j.near, s.There, up, &j.trace.up, nil); j.nearGone.Store(true); close(room) })
	defer pumps.Wait()
	defer j.close()
	for {
		there, _, changed := s.There.Fault()
		back, _, turned := s.Back.Fault()
		if there.Refuse || back.Refuse {
			s.There.act()
			s.Back.act()
			j.reset()
			return
		}
		if !there.Drop && !back.Drop {
			break
		}
		s.There.act()
		s.Back.act()
		select {
		case <-changed:
		case <-turned:
		case <-room:
			return
		case <-j.over:
			return
		}
	}
	if j.nearGone.Load() && len(up) == 0 {
		return
	}
	c, err := s.dial.Dial("tcp", s.target)
	if err != nil {
		j.reset()
		return
	}
	j.trace.mu.Lock()
	j.far, j.trace.port = c.(*net.TCPConn), c.LocalAddr().(*net.TCPAddr).Port
	j.trace.mu.Unlock()
	select {
	case <-j.over: // closed meanwhile, and far was not known then
		c.Close()
		return
	default:
	}
	down := make(chan piece, queuedBytes/pieceMost)
	pumps.Go(func() { j.read(j.far, s.Back, down, nil, &j.trace.ofFar) })
	var writers sync.WaitGroup
	writers.Go(func() { j.write(j.far, s.There, up, nil, &j.trace.toFar) })
	writers.Go(func() { j.write(j.near, s.Back, down, &j.trace.down, nil) })
	writers.Wait()
}

// read takes what comes, and decides when it goes on.
func (j *joint) read(from *net.TCPConn, w *Way, to chan<- piece, passes *[]Pass, total *int64) {
	defer close(to)
	ahead := Micros(0)
	for {
		buf := make([]byte, w.PieceMost())
		n, err := from.Read(buf)
		now := j.s.now()
		if n > 0 {
			w.add(Count{Came: 1, CameBytes: int64(n)})
			if passes != nil {
				j.trace.note(passes, n, now)
			}
			if total != nil {
				j.trace.mu.Lock()
				*total += int64(n)
				j.trace.mu.Unlock()
			}
			ahead = w.Piece(now, n, ahead)
			select {
			case to <- piece{buf[:n], ahead}:
			case <-j.over:
				return
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, syscall.ECONNRESET) {
			j.reset() // what a sender resets it does not send again: nothing of it is delivered any more
			return
		}
		if errors.Is(err, io.EOF) {
			select {
			case to <- piece{nil, w.Piece(now, 0, ahead)}:
			case <-j.over:
			}
		}
		return
	}
}

// write delivers what is due, as far as the way lets it.
func (j *joint) write(to *net.TCPConn, w *Way, from <-chan piece, passes *[]Pass, total *int64) {
	dead, since, left := false, -1, 0 // bytes were swallowed; the fault that left belongs to; bytes until a reset
	next := from
	var held *piece
	for {
		f, serial, changed := w.Fault()
		if f.Refuse || dead && !f.Silent {
			w.act()
			j.reset()
			return
		}
		if serial != since {
			since, left = serial, f.Reset
		}
		if held != nil && f.Drop {
			w.act()
		}
		var due <-chan time.Time
		if held != nil && !f.Drop {
			wait := time.Duration(held.at-j.s.now()) * time.Microsecond
			if wait <= 0 {
				if !j.deliver(to, w, *held, f, &dead, &left, passes, total) {
					return
				}
				held, next = nil, from
				continue
			}
			due = time.After(wait)
		}
		select {
		case p, more := <-next:
			if !more {
				return
			}
			held, next = &p, nil
		case <-due:
		case <-changed:
		case <-j.over:
			return
		}
	}
}

// deliver hands one piece on; false ends the direction.
func (j *joint) deliver(to *net.TCPConn, w *Way, p piece, f Fault, dead *bool, left *int, passes *[]Pass, total *int64) bool {
	b := p.bytes
	switch {
	case f.Silent:
		w.add(Count{Gone: 1})
		w.act()
		*dead = true
		return true
	case b == nil:
		to.CloseWrite()
		return false
	}
	cut := f.Reset > 0 && len(b) >= *left
	if cut {
		b = b[:*left]
	}
	n := 0
	if len(b) > 0 {
		// Written down before: who is told may act before the system's call returns.
		if passes != nil {
			j.trace.note(passes, len(b), j.s.now())
		}
		var err error
		n, err = to.Write(b)
		if total != nil {
			j.trace.mu.Lock()
			*total += int64(n)
			j.trace.mu.Unlock()
		}
		w.add(Count{Went: 1, WentBytes: int64(n)})
		if err != nil {
			j.reset()
			return false
		}
	}
	if *left -= n; cut {
		w.act()
		j.reset()
		return false
	}
	return true
}
