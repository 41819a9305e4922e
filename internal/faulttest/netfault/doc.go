// Package netfault holds relays that stand between processes of a test, and the faults that a link between them may have: a Mesh relays
// datagrams, a Stream relays TCP connections, and each direction is a Link with its own Fault.
//
// What becomes of a datagram or of a segment of a stream is decided by Link, without I/O or a clock; the relays carry it out and count
// it. All exported methods may be called from any goroutine.
package netfault
