package tcpconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// AcceptBacklog returns how many connections wait to be accepted on a listener, 0 where the system does not tell.
func AcceptBacklog(listener syscall.Conn) int {
	raw, err := listener.SyscallConn()
	if err != nil {
		return 0
	}
	waiting := 0
	// An error leaves 0. On a listening socket the system keeps the length of the queue in this field.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked)
		}
	})
	return waiting
}
