package coordinator

import (
	"log/slog"

	"switchfork/internal/cluster/election"
	"switchfork/internal/policy"
)

// trafficStop carries out the replica's SelfStop commands. While a stop is in force, this agent's routing policy has a traffic cap of zero
// for the build; other agents are not affected. trafficStop keeps the last rollout update, and gives it to the policy again when the stop
// ends.
type trafficStop struct {
	updatePolicy func(policy.RolloutUpdate)

	rollout    policy.RolloutUpdate
	hasRollout bool               // an update has been received
	stopped    *election.Decision // names the build to which this agent has stopped sending requests; nil: none
}

// observe records a rollout update, which the policy has already been given.
func (s *trafficStop) observe(update policy.RolloutUpdate) {
	s.rollout = update
	s.rollout.IsVoteReply = false // an update that is given to the policy again does not answer a vote
	s.hasRollout = true
}

// reapply sets the traffic cap to zero again after an update of the stopped stage, because the update has overwritten the cap.
func (s *trafficStop) reapply(update policy.RolloutUpdate) {
	if s.stopped != nil && int(s.stopped.Build) == update.Build && int(s.stopped.Stage) == update.Stage {
		s.stop(*s.stopped)
	}
}

func (s *trafficStop) execute(command election.SelfStop) {
	if command.Stop {
		s.stop(command.Decision)
	} else {
		s.resume()
	}
}

// stop sets the traffic cap of a build under evaluation to zero.
func (s *trafficStop) stop(d election.Decision) {
	if s.stopped == nil {
		slog.Warn("sending to the build stopped: no leader known", "build", d.Build, "stage", d.Stage)
	}
	s.stopped = &d
	s.updatePolicy(policy.RolloutUpdate{
		Build: int(d.Build),
		Stage: int(d.Stage),
		Phase: policy.Evaluating,
		Cap:   0,
		Age:   s.rollout.Age,
	})
}

// resume gives the policy the last rollout update again.
func (s *trafficStop) resume() {
	s.stopped = nil
	if s.hasRollout {
		s.updatePolicy(s.rollout)
	}
}
