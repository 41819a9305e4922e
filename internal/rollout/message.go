package rollout

import (
	"switchfork/internal/agent"
	"switchfork/internal/policy"
)

// message is a message in a client's mailbox.
type message interface{ isMessage() }

// voteRequested requests that a vote be cast.
type voteRequested struct{ vote policy.Vote }

// timedVoteRequested requests that a timed vote be cast.
type timedVoteRequested struct{ vote TimedVote }

// probeRequested requests a call that only tells whether the rollout controller answers.
type probeRequested struct{ answered func() }

// addressChanged requests a move to another address of the rollout controller.
type addressChanged struct{ apiURL string }

// updateReceived reports an update on a stream.
type updateReceived struct {
	from   *stream
	update policy.RolloutUpdate
}

// heartbeatReceived reports a heartbeat on a stream.
type heartbeatReceived struct{ from *stream }

// streamEnded reports the end of a stream. It is the last message of each stream.
type streamEnded struct {
	from *stream
	err  error
}

// barrierReceived holds a barrier of the event loop. The barrier's channel is closed once all earlier messages have been handled.
type barrierReceived struct{ agent.Barrier }

func (voteRequested) isMessage()      {}
func (timedVoteRequested) isMessage() {}
func (probeRequested) isMessage()     {}
func (addressChanged) isMessage()     {}
func (updateReceived) isMessage()     {}
func (heartbeatReceived) isMessage()  {}
func (streamEnded) isMessage()        {}
func (barrierReceived) isMessage()    {}
