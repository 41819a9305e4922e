package proxy

import (
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// queueDelay returns how long ago the request's last byte came in, by the kernel's count: a request that waited in a queue while the
// agent was short of processor time or descriptors has that much less time left. It returns 0 where the kernel can't tell.
func queueDelay(r *http.Request) (delay time.Duration) {
	conn, ok := r.Context().Value(connKey{}).(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	// Control fails only for a connection that is closed already; then there is no delay to measure.
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
