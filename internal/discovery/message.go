package discovery

import (
	"switchfork/internal/agent"
	"switchfork/internal/protocol"
)

// message is a message in a client's mailbox.
type message interface{ isMessage() }

// listReceived reports that a watcher has received a full list or a list of changes.
type listReceived struct {
	from *watcher
	list protocol.List
}

// heartbeatReceived reports a heartbeat on a watch. A heartbeat means that discovery has sent the watcher all changes that discovery knows of.
type heartbeatReceived struct{ from *watcher }

// watchSilent reports that no line has arrived on a watch for silenceTimeout.
type watchSilent struct{ from *watcher }

// watcherEnded reports that a retired watcher has ended because its watch ended.
type watcherEnded struct{ from *watcher }

// addressChanged requests a move to another address of discovery.
type addressChanged struct{ address string }

// barrierReceived holds a barrier of the event loop. The barrier's channel is closed once all earlier messages have been handled.
type barrierReceived struct{ agent.Barrier }

func (listReceived) isMessage()      {}
func (heartbeatReceived) isMessage() {}
func (watchSilent) isMessage()       {}
func (watcherEnded) isMessage()      {}
func (addressChanged) isMessage()    {}
func (barrierReceived) isMessage()   {}
