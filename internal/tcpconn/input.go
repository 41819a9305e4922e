package tcpconn

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsOpenWithoutInput reports whether a connection is open and has no unread input. It returns false if the connection's descriptor is not
// accessible.
func IsOpenWithoutInput(conn any) bool {
	withSyscalls, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withSyscalls.SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = raw.Control(func(fd uintptr) { isOpen = isSocketOpenWithoutInput(fd) })
	return err == nil && isOpen
}

// PeekUnread copies unread input of a connection to b without reading it, and returns the number of bytes. It does not wait for input. It
// returns 0 if the connection has none, is closed, or does not give access to its descriptor.
func PeekUnread(conn any, b []byte) (n int) {
	withSyscalls, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := withSyscalls.SyscallConn()
	if err != nil {
		return 0
	}
	// Control fails only on a closed connection, whose input can't be read.
	_ = raw.Control(func(fd uintptr) { n, _, _ = unix.Recvfrom(int(fd), b, unix.MSG_PEEK|unix.MSG_DONTWAIT) })
	return max(0, n)
}

// HalfCloseIfNoInput half closes a connection that is open and has no unread input, and reports whether it did. The half close follows the
// check at once, without blocking, so that only bytes that arrive between these two system calls are missed.
func HalfCloseIfNoInput(conn syscall.RawConn) bool {
	isEnded := false
	err := conn.Control(func(fd uintptr) {
		if isSocketOpenWithoutInput(fd) {
			isEnded = unix.Shutdown(int(fd), unix.SHUT_WR) == nil
		}
	})
	return err == nil && isEnded
}

// isSocketOpenWithoutInput peeks at the first unread byte. Recvfrom fails with EAGAIN only if the connection is open and has no unread
// byte.
func isSocketOpenWithoutInput(fd uintptr) bool {
	var first [1]byte
	_, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}
