package tcpconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// RefuseNew has the kernel establish almost no further connections on a listener: one more, and only if none waits to be accepted.
// Connections that wait can still be accepted. Further connection attempts get no answer until the listener is closed, and are refused then.
// Without RefuseNew, a busy listener can't be closed without resetting connections that have just been established.
func RefuseNew(listener syscall.Conn) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	// If the call fails, the listener is unchanged.
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), 0) })
}
