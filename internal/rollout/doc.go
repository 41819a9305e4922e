// Package rollout talks to the rollout controller: it reads the controller's event stream, casts votes, and hands rollout updates from both
// to the event loop in an order in which none revokes a newer one.
//
// A Client owns the streams and the address; only the goroutine that runs Client.Serve uses them. Each stream and each vote runs in a
// goroutine of its own. Client.Move, Client.Vote and Client.VoteBefore may be called from any goroutine.
//
// The client's mailbox keeps the order in which streams report and votes are asked for, so that a barrier of the event loop is passed after
// all that has been received.
package rollout
