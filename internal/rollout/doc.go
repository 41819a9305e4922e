// Package rollout is the client of the rollout controller. It reads the controller's event stream and casts votes. Both the stream and the
// replies to votes contain rollout updates. The package passes them to the event loop so that no update is overwritten by an older one.
//
// A Client owns the streams and the address, which only the goroutine that runs Client.Serve uses. Each stream and each vote runs in its own
// goroutine. Client.Move, Client.Vote and Client.VoteBefore may be called from any goroutine.
//
// The client's mailbox keeps the order in which streams report and votes are requested. A barrier of the event loop is therefore handled after
// all messages that were received before it.
package rollout
