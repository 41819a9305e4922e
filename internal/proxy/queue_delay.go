package proxy

import (
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// queueDelay returns how long ago the kernel received the last byte of a request. A request that waited in a queue while the agent was
// short of CPU time or descriptors has that much less time left. queueDelay returns 0 if the kernel does not report the delay, or if the
// delay is exchangeTimeout or longer.
func queueDelay(r *http.Request) (delay time.Duration) {
	conn, ok := r.Context().Value(connKey{}).(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	// Control fails only for a closed connection, which has no delay to measure.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		sinceLastByte := time.Duration(info.Last_data_recv) * time.Millisecond
		if sinceLastByte < exchangeTimeout {
			delay = sinceLastByte
		}
	})
	return delay
}
