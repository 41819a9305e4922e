package faulttest

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"switchfork/internal/faulttest/netfault"

	"golang.org/x/sys/unix"
)

// pieceInterval lies between the two pieces of a request that is sent in pieces.
const pieceInterval = 20 * time.Millisecond

// clientConn is a client's connection to an agent. One that is idle belongs to its source, one that is in use to its attempt.
type clientConn struct {
	net.Conn
	reader   *bufio.Reader
	dialedAt netfault.Micros
	wasUsed  bool // an answer came on it
}

// discard closes a connection that is of no use any more; what closing it reports can't matter.
func (c *clientConn) discard() { _ = c.Close() }

// write sends a request, in two pieces where its style says so.
func (c *clientConn) write(request []byte, style requestStyle) error {
	if style.isSplit {
		half := len(request) / 2
		if _, err := c.Write(request[:half]); err != nil {
			return err
		}
		time.Sleep(pieceInterval)
		request = request[half:]
	}
	_, err := c.Write(request)
	return err
}

// closedWhileIdle tells whether an error means that the agent closed a connection that it had served before, with nothing of an answer.
func (c *clientConn) closedWhileIdle(err error) bool {
	if !c.wasUsed || c.reader.Buffered() > 0 {
		return false
	}
	return isCleanEnd(err) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// isCleanEnd tells whether an error is the end of a stream, and no reset.
func isCleanEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// peek looks at what has come on an idle connection, without waiting.
func (c *clientConn) peek() (n int, err error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, err = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, errors.Join(err, controlErr)
}
