// Package tcpconn opens TCP connections that stop sending when they are closed without a response. It also reports whether a connection has
// unread input, without reading it, and how many connections wait to be accepted on a listener.
//
// A ResetConn may be used like any net.Conn, but by only one reading goroutine at a time. An UnreadTracker owns the set of its connections.
// All functions may be called from any goroutine.
package tcpconn
