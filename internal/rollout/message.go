package rollout

import (
	"switchfork/internal/agent"
	"switchfork/internal/policy"
)

// message is what a client's mailbox holds.
type message interface{ isMessage() }

// voteRequested asks for a vote to be cast.
type voteRequested struct{ vote policy.Vote }

// timedVoteRequested asks for a vote to be cast before a time.
type timedVoteRequested struct{ vote TimedVote }

// addressChanged asks for a move to another address.
type addressChanged struct{ apiURL string }

// updateReceived is an update that a stream has read.
type updateReceived struct {
	from   *stream
	update policy.RolloutUpdate
}

// heartbeatReceived is a heartbeat on a stream.
type heartbeatReceived struct{ from *stream }

// streamEnded is the last message of each stream.
type streamEnded struct {
	from *stream
	err  error
}

// barrierReceived is the event loop's question whether all messages before it have been handled.
type barrierReceived struct{ agent.Barrier }

func (voteRequested) isMessage()      {}
func (timedVoteRequested) isMessage() {}
func (addressChanged) isMessage()     {}
func (updateReceived) isMessage()     {}
func (heartbeatReceived) isMessage()  {}
func (streamEnded) isMessage()        {}
func (barrierReceived) isMessage()    {}
