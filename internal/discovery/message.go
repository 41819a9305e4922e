package discovery

import (
	"switchfork/internal/agent"
	"switchfork/internal/protocol"
)

// message is what a client's mailbox holds.
type message interface{ isMessage() }

// listReceived is a list, full or of changes, that a watcher has read.
type listReceived struct {
	from *watcher
	list protocol.List
}

// heartbeatReceived is a heartbeat on a watch: the watcher has been sent all that its discovery knows at present.
type heartbeatReceived struct{ from *watcher }

// watchSilent tells that a watch has had no line for the silence timeout.
type watchSilent struct{ from *watcher }

// watcherEnded tells that a watcher that was retired has ended with its watch.
type watcherEnded struct{ from *watcher }

// addressChanged asks for a move to another address.
type addressChanged struct{ address string }

// barrierReceived is the event loop's question whether all messages before it have been handled.
type barrierReceived struct{ agent.Barrier }

func (listReceived) isMessage()      {}
func (heartbeatReceived) isMessage() {}
func (watchSilent) isMessage()       {}
func (watcherEnded) isMessage()      {}
func (addressChanged) isMessage()    {}
func (barrierReceived) isMessage()   {}
