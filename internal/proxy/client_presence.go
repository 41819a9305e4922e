package proxy

import (
	"net/http"

	"switchfork/internal/ratelog"
	"switchfork/internal/tcpconn"
)

// hasLeft reports whether the client has closed its connection.
func (c *clientConn) hasLeft() bool {
	peer := tcpconn.PeerOf(c.raw)
	if !peer.IsGone {
		return false
	}
	ratelog.Warn("client left", "client has left before its request was sent", "unread_bytes", peer.UnreadBytes)
	return true
}

// clientPresence returns the function by which a request's client is looked for before an attempt is written.
func clientPresence(r *http.Request) func() bool {
	conn, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return nil
	}
	return conn.hasLeft
}
