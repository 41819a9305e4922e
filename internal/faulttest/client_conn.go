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

// pieceInterval is the time between the two pieces of a split request.
const pieceInterval = 20 * time.Millisecond

// clientConn is a client's connection to an agent. An idle connection is owned by its connSource; a connection in use is
// owned by the attempt.
type clientConn struct {
	net.Conn
	reader   *bufio.Reader
	dialedAt netfault.Micros
	wasUsed  bool // an answer was read from it
}

// discard closes a connection that is no longer needed. An error of Close has no consequence.
func (c *clientConn) discard() { _ = c.Close() }

// write sends a request, in two pieces if the style says so.
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

// closedWhileIdle reports whether an error means that the agent closed an idle connection: the agent had answered on it before, and has sent
// no byte of a further answer.
func (c *clientConn) closedWhileIdle(err error) bool {
	if !c.wasUsed || c.reader.Buffered() > 0 {
		return false
	}
	return isCleanEnd(err) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// isCleanEnd reports whether an error is the end of a stream and not a reset.
func isCleanEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// peek checks whether an idle connection has input, without waiting for input or consuming it. It returns n > 0 if there is input, n = 0
// without an error at the end of the stream, and EAGAIN if there is neither.
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
