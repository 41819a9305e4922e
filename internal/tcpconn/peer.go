package tcpconn

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Peer is what the kernel knows of the other side of a connection.
type Peer struct {
	IsGone      bool // the peer has closed its side or reset the connection, or the connection is closed on this side
	UnreadBytes int  // input that has arrived and is not read
	// ReceiveBuffer is the size of the kernel's receive buffer in bytes, or 0 if it is not reported. A peer's close does not arrive while
	// the buffer is full.
	ReceiveBuffer int
}

// PeerOf returns what the kernel knows of a connection's peer. It reads nothing. The close of a peer is known although input from before the
// close is unread, unless the kernel does not report the state of connections.
func PeerOf(conn syscall.RawConn) (peer Peer) {
	err := conn.Control(func(fd uintptr) {
		peer.IsGone = isPeerGone(int(fd))
		peer.UnreadBytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) // 0 if the kernel does not report it
		peer.ReceiveBuffer, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
	})
	if err != nil {
		peer.IsGone = true
	}
	return peer
}

// isPeerGone goes by the state of the connection, or if that is not reported by whether its input has ended.
func isPeerGone(fd int) bool {
	if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State != 0 {
		return info.State != unix.BPF_TCP_ESTABLISHED
	}
	var first [1]byte
	n, _, err := unix.Recvfrom(fd, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	hasNoInputYet := errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR)
	return n <= 0 && !hasNoInputYet
}
