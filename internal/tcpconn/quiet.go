package tcpconn

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsQuiet tells whether a connection is open and nothing has arrived on it that is not read. It is false for a connection that it can't
// look at.
func IsQuiet(conn any) bool {
	withSyscalls, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withSyscalls.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		_, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && isQuiet
}
