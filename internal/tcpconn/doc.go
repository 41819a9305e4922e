// Package tcpconn opens TCP connections that do not go on sending after they have been given up, and tells what has arrived on a
// connection without reading it, or waits on a listener.
//
// A ResetConn may be used as any net.Conn, with one goroutine that reads at a time. An UnreadTracker owns the set of its connections. All
// functions may be called from any goroutine.
package tcpconn
