package coordinator

import (
	"log/slog"

	"switchfork/internal/cluster/election"
	"switchfork/internal/policy"
)

// trafficStop carries out the replica's SelfStop commands: while one is in force the routing policy is given a traffic cap of zero for
// the build, in this agent alone. It keeps the last rollout update, which the policy gets again at the stop's end.
type trafficStop struct {
	updatePolicy func(policy.RolloutUpdate)

	rollout    policy.RolloutUpdate
	hasRollout bool               // an update was received
	stopped    *election.Decision // the build to which this agent has stopped sending; nil: none
}

// observe remembers the state of a rollout, which the policy has been given already.
func (s *trafficStop) observe(update policy.RolloutUpdate) {
	s.rollout = update
	s.rollout.IsVoteReply = false // it may be given to the policy once more, where it answers no vote
	s.hasRollout = true
}

// reapply stops the traffic again after an update of the stopped stage, which has set the traffic cap.
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

// stop sets the traffic cap of a build on trial to zero.
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
