// Package discovery keeps the agent's endpoint list up to date. It fetches the list from the control plane's discovery service, watches it
// for changes, and passes the list and its changes to the event loop as endpoint updates.
//
// A Client owns the published version, the endpoint numbers and the choice of the watcher whose lists are published. They are used only by
// the goroutine that runs Client.Serve, and before that by the goroutine that sets the client up. Each watcher reads from one address in its
// own goroutine and reports to the client through the client's mailbox. Client.Move may be called from any goroutine.
//
// The mailbox keeps the order in which watchers report. A heartbeat is therefore handled after all lists that were read before it. A
// barrier of the event loop is likewise handled after all messages that were received before it. The client then closes the barrier's
// channel, which tells the event loop that these messages have been handled.
package discovery
