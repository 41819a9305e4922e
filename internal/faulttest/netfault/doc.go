// Package netfault provides relays that are placed between the processes of a test and apply network faults. A Mesh relays datagrams
// and a Stream relays TCP connections. Each direction of the traffic passes a Link with its own Fault. A party is a process that sends
// through relays, identified by its index.
//
// A Link decides what happens to each datagram or segment of a stream, without I/O and without reading a clock. The relays carry out
// and count the decisions. All exported methods may be called from any goroutine.
package netfault
