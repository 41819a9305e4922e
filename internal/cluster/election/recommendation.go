package election

// recommendation is the decision that a replica's release analyzer asks for.
type recommendation struct {
	Decision
	receivedAt Micros
}

// Recommend takes the recommendation of this replica's release analyzer, and sends it to the other members.
func (r *Replica) Recommend(now Micros, recommended Decision) []Command {
	r.beginCall(now)
	r.recommendations[r.id] = recommendation{recommended, now}
	r.broadcast(Message{Kind: Recommend, Recommendation: recommended})
	return r.advance()
}

func (r *Replica) handleRecommend(from int, m Message) {
	r.recommendations[from] = recommendation{m.Recommendation, r.now}
}

// recommendedVerdict returns the verdict that the recommendations come to: a rollback where enough replicas ask for it; else
// what this replica's analyzer asks for. While any replica asks for a rollback nobody votes to advance.
func (r *Replica) recommendedVerdict() Verdict {
	rollbacks := r.countRollbacks()
	own := r.recommendations[r.id]
	isOnStage := own.Build == r.rollout.build && own.Stage == r.rollout.stage
	switch {
	case rollbacks >= max(1, r.settings.RollbackQuorum):
		return Rollback
	case !isOnStage, rollbacks > 0 && own.Verdict == Advance:
		return NoVote
	}
	return own.Verdict
}

// countRollbacks returns how many replicas ask for a rollback of the present stage. Others' recommendations expire; this
// replica's own holds until its analyzer changes it.
func (r *Replica) countRollbacks() int {
	wanted := r.rollbackOfStage()
	count := 0
	for i, recommended := range r.recommendations {
		isRecent := recommended.receivedAt > 0 && r.now-recommended.receivedAt < r.settings.recommendationLifetime()
		if (i == r.id || isRecent) && recommended.Decision == wanted {
			count++
		}
	}
	return count
}

// rollbackOfStage is the decision to roll the present stage back.
func (r *Replica) rollbackOfStage() Decision {
	return Decision{Build: r.rollout.build, Stage: r.rollout.stage, Verdict: Rollback}
}

// updateSelfStop decides what this replica may do without a leader. A leader that appears does not lift the stop: it will roll
// the build back, or this replica's analyzer comes to ask for something else.
func (r *Replica) updateSelfStop() {
	own := r.recommendations[r.id].Decision
	wantsRollback := r.rollout.isActive && own == r.rollbackOfStage()
	isStopped := r.selfStopped.Verdict != NoVote
	isLeaderKnown := r.IsLeader(r.now) || r.now < r.acceptor.leaseUntil
	switch {
	case !isStopped && wantsRollback && !isLeaderKnown:
		r.selfStopped = own
		r.commands = append(r.commands, SelfStop{Decision: own, Stop: true})
	case isStopped && !wantsRollback:
		r.commands = append(r.commands, SelfStop{Decision: r.selfStopped, Stop: false})
		r.selfStopped = Decision{}
	}
}
