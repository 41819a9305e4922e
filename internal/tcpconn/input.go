package tcpconn

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsOpenWithoutInput tells whether a connection is open and nothing has arrived on it that is not read. It is false for a connection that
// it can't look at.
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

// HalfCloseIfNoInput ends sending on a connection that is open and has nothing unread, and tells whether it did. The look and the end are
// one step that waits for nothing: only bytes that arrive within it can still cross the end.
func HalfCloseIfNoInput(conn syscall.RawConn) bool {
	isEnded := false
	err := conn.Control(func(fd uintptr) {
		if isSocketOpenWithoutInput(fd) {
			isEnded = unix.Shutdown(int(fd), unix.SHUT_WR) == nil
		}
	})
	return err == nil && isEnded
}

// isSocketOpenWithoutInput looks for a first byte, which stays unread. The end of the connection would be found as well as a byte.
func isSocketOpenWithoutInput(fd uintptr) bool {
	var first [1]byte
	_, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}
