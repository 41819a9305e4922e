package tcpconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// AcceptBacklog returns how many connections wait to be accepted on a listener, or 0 if the kernel does not report this count.
func AcceptBacklog(listener syscall.Conn) int {
	raw, err := listener.SyscallConn()
	if err != nil {
		return 0
	}
	waiting := 0
	// An error leaves the result at 0. For a listening socket, the kernel reports the length of the accept queue in Unacked.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked)
		}
	})
	return waiting
}
