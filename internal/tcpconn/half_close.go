package tcpconn

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// HalfCloseIfQuiet ends sending on a connection that is open and has nothing unread, and tells whether it did. The look and the end are one
// step that waits for nothing: only bytes that arrive within it can still cross the end.
func HalfCloseIfQuiet(conn syscall.RawConn) bool {
	isEnded := false
	err := conn.Control(func(fd uintptr) {
		var first [1]byte
		if _, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); errors.Is(err, unix.EAGAIN) {
			isEnded = unix.Shutdown(int(fd), unix.SHUT_WR) == nil
		}
	})
	return err == nil && isEnded
}
