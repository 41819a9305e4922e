// Package gossip sends datagrams to other agents and passes received datagrams to the event loop.
//
// A Messenger owns the UDP socket. The goroutine that runs Messenger.Serve takes messages from its mailbox and sends them; another goroutine
// reads datagrams. Send and SendCommand may be called from any goroutine. The mailbox keeps the order of the datagrams; UDP does not.
package gossip
