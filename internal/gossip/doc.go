// Package gossip sends datagrams between agents and hands those that come to the event loop.
//
// A Messenger owns the UDP socket. Its mailbox is emptied by the goroutine that runs Messenger.Serve, and datagrams are read in another;
// Send and SendCommand may be called from any goroutine. The mailbox keeps the order in which datagrams are sent; UDP does not.
package gossip
