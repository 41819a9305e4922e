package election

// recommendations holds the newest recommendation of each replica's release analyzer, and derives the verdict on the current
// stage from the recommendations that have not expired. [voteCaster] asks for this verdict while this replica leads.
type recommendations struct {
	self      int
	settings  Settings
	byReplica [MaxReplicas]recommendation
}

// recommendation is the decision that a replica's release analyzer recommends.
type recommendation struct {
	Decision
	receivedAt Micros // when this replica received the recommendation; 0: never
}

// put stores a replica's recommendation in place of its earlier one.
func (r *recommendations) put(replica int, recommended Decision, now Micros) {
	r.byReplica[replica] = recommendation{recommended, now}
}

// own returns the decision that this replica's analyzer recommends.
func (r *recommendations) own() Decision { return r.byReplica[r.self].Decision }

// verdict returns the verdict that results from the recommendations for the current stage. The result is a rollback if enough
// replicas recommend one, and otherwise the verdict that this replica's analyzer recommends. While any replica recommends a
// rollback, the result is never to advance.
func (r *recommendations) verdict(rollout rolloutPosition, now Micros) Verdict {
	rollbacks := r.countRollbacks(rollout, now)
	own := r.own()
	switch {
	case rollbacks >= max(1, r.settings.RollbackQuorum):
		return Rollback
	case !own.isSameStage(rollout.decision(NoVote)):
		return NoVote
	case rollbacks > 0 && own.Verdict == Advance:
		return NoVote
	}
	return own.Verdict
}

// countRollbacks returns how many replicas recommend a rollback on the current stage. The recommendations of other replicas
// expire. This replica's own recommendation counts until its analyzer recommends something else.
func (r *recommendations) countRollbacks(rollout rolloutPosition, now Micros) int {
	wanted := rollout.decision(Rollback)
	count := 0
	for i, recommended := range r.byReplica {
		isRecent := recommended.receivedAt > 0 && now-recommended.receivedAt < r.settings.recommendationLifetime()
		if (i == r.self || isRecent) && recommended.Decision == wanted {
			count++
		}
	}
	return count
}
