// Package tcpconn opens TCP connections that are reset if they are closed before a response has arrived. After the reset, the kernel no
// longer sends their data. The package also reports whether a connection has unread input, without reading that input, and how many
// connections wait to be accepted on a listener.
//
// A ResetConn may be used like any net.Conn, but by only one reading goroutine at a time. An UnreadTracker owns the set of its connections.
// All functions may be called from any goroutine.
package tcpconn
