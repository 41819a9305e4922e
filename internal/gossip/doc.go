// Package gossip sends datagrams between agents and hands those that come to the event loop.
//
// A Messenger owns the UDP socket. Its mailbox is emptied by the goroutine that runs Messenger.Serve, and datagrams are read in another;
// Post and Send may be called from any goroutine.
package gossip
