package simulation

import "switchfork/internal/cluster/election"

// electionAgent models an agent's process: it may be down or paused, its clock drifts, and its disk may keep the durable state.
type electionAgent struct {
	replica        *election.Replica
	clockRate      float64
	isDown         bool
	pausedUntil    int64
	deferred       []func() // what came in during the pause
	epoch          int      // counts the starts
	recommendation election.Decision
	hasDisk        bool // its durable state survives a restart
	persisted      *election.DurableState
}

// reset begins a new process of the agent; what the one before had deferred is lost.
func (a *electionAgent) reset() {
	a.epoch++
	a.isDown = false
	a.deferred = nil
	a.pausedUntil = 0
}

// crash ends the agent's process. What was under way for it is lost.
func (a *electionAgent) crash() {
	a.isDown = true
	a.epoch++
}

// restoredState returns the durable state that the agent has on its disk; nil: none.
func (a *electionAgent) restoredState() *election.DurableState {
	if !a.hasDisk {
		return nil
	}
	return a.persisted
}

// clock returns the agent's own time.
func (a *electionAgent) clock(now int64) int64 { return int64(float64(now)*a.clockRate) + 1 }

// isRunning tells whether the agent is neither down nor paused.
func (a *electionAgent) isRunning(now int64) bool { return !a.isDown && now >= a.pausedUntil }

// isLeader tells whether an agent that is not down considers itself the leader.
func (a *electionAgent) isLeader(now int64) bool {
	return !a.isDown && a.replica.IsLeader(a.clock(now))
}

// run lets the agent act, or defers that while the agent is paused.
func (a *electionAgent) run(now int64, act func()) {
	switch {
	case a.isDown:
	case now < a.pausedUntil:
		a.deferred = append(a.deferred, act)
	default:
		act()
	}
}

// pause stops the agent for a time; what comes in meanwhile is handled at the end.
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
