// Package discovery follows the endpoint list of the control plane: it fetches the list, watches it for changes, and hands both to the
// event loop as endpoint updates.
//
// A Client owns the list's version, the endpoints' numbers and the choice of the watcher whose lists are published; all of it is used by the
// goroutine that runs Client.Serve, and by the one that sets the client up before that. Each watcher reads one address in a goroutine of
// its own and reports to the client through its mailbox. Client.Move may be called from any goroutine.
//
// The client's mailbox keeps the order in which watchers report, so that a heartbeat is handled after all lists that were read before it,
// and a barrier of the event loop after all that has been received.
package discovery
