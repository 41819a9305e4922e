package proxy

import (
	"net/http"

	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
	"switchfork/internal/tcpconn"
)

const (
	// maxUnreadBytes is the longest input that a client may send ahead of a response: one request of the greatest length.
	maxUnreadBytes = protocol.HeadLimit + protocol.BodyLimit
	// unreadBufferDivisor bounds the input that may be sent ahead to a fraction of the kernel's receive buffer. The client's close arrives
	// behind its input, and only while the buffer has room.
	unreadBufferDivisor = 4
)

// hasLeft reports whether the client has closed its connection, or has sent so much ahead that its close could not be seen.
func (c *clientConn) hasLeft() bool {
	peer := tcpconn.PeerOf(c.raw)
	hasOverrun := peer.UnreadBytes > unreadLimit(peer.ReceiveBuffer)
	switch {
	case peer.IsGone:
		ratelog.Warn("client left", "client has left before its request was sent", "unread_bytes", peer.UnreadBytes)
	case hasOverrun:
		ratelog.Warn("client overrun", "client has sent too much before its response", "unread_bytes", peer.UnreadBytes)
		c.endWithResponse()
	}
	return peer.IsGone || hasOverrun
}

// unreadLimit returns how many bytes a client may send ahead. receiveBuffer is 0 if the kernel does not report its size.
func unreadLimit(receiveBuffer int) int {
	if receiveBuffer <= 0 {
		return maxUnreadBytes
	}
	return min(maxUnreadBytes, receiveBuffer/unreadBufferDivisor)
}

// clientPresence returns the function by which a request's client is looked for before an attempt is written.
func clientPresence(r *http.Request) func() bool {
	conn, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return nil
	}
	return conn.hasLeft
}
