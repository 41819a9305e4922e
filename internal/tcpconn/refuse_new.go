package tcpconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// RefuseNew has the system take next to no further connections on a listener: one more only where none waits. Those that wait can still be
// accepted. What else asks for a connection gets no answer until the listener is closed, and is refused then. Without it a busy listener
// can't be closed without resetting connections that have just come up.
func RefuseNew(listener syscall.Conn) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	// An error leaves the listener as it was.
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), 0) })
}
