package simulation

import "switchfork/internal/cluster/election"

// electionAgent models an agent's process. It may be down or paused, its clock drifts, and it may have a disk that preserves the
// durable state.
type electionAgent struct {
	replica        *election.Replica
	clockRate      float64 // rate of the agent's clock, as a multiple of the rate of simulated time
	isDown         bool
	pausedUntil    int64
	deferred       []func() // calls to make at the end of the pause
	epoch          int      // increases with each start and each crash
	recommendation election.Decision
	hasDisk        bool                   // the durable state survives a restart
	persisted      *election.DurableState // the last state that the replica persisted; nil: none
}

// reset starts a new process of the agent. Calls that were deferred to the end of the previous process's pause are dropped.
func (a *electionAgent) reset() {
	a.epoch++
	a.isDown = false
	a.deferred = nil
	a.pausedUntil = 0
}

// crash ends the agent's process. Messages and answers in transit to it are lost.
func (a *electionAgent) crash() {
	a.isDown = true
	a.epoch++
}

// restoredState returns the durable state on the agent's disk, or nil if there is none.
func (a *electionAgent) restoredState() *election.DurableState {
	if !a.hasDisk {
		return nil
	}
	return a.persisted
}

// clock returns the time by the agent's clock at the simulated time now.
func (a *electionAgent) clock(now int64) int64 { return int64(float64(now)*a.clockRate) + 1 }

// isRunning reports whether the agent is neither down nor paused.
func (a *electionAgent) isRunning(now int64) bool { return !a.isDown && now >= a.pausedUntil }

// isLeader reports whether the agent is not down and considers itself the leader.
func (a *electionAgent) isLeader(now int64) bool {
	return !a.isDown && a.replica.IsLeader(a.clock(now))
}

// run calls act. While the agent is paused the call is deferred, and while it is down the call is dropped.
func (a *electionAgent) run(now int64, act func()) {
	switch {
	case a.isDown:
	case now < a.pausedUntil:
		a.deferred = append(a.deferred, act)
	default:
		act()
	}
}

// pause pauses the agent for span. The deferred calls are made at the end of the pause.
func (a *electionAgent) pause(t *timeline, span int64) {
	if a.isDown {
		return
	}
	a.pausedUntil = max(a.pausedUntil, t.now+span)
	epoch := a.epoch
	t.schedule(a.pausedUntil, func() {
		if a.epoch != epoch || t.now < a.pausedUntil {
			return
		}
		deferred := a.deferred
		a.deferred = nil
		for _, act := range deferred {
			act()
		}
	})
}
