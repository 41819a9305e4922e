package election

// recommendations are what the replicas' release analyzers ask for. They decide which verdict that comes to on a stage, from each
// replica's newest recommendation and its age. [voteCaster] asks while its replica leads.
type recommendations struct {
	self      int
	settings  Settings
	byReplica [MaxReplicas]recommendation
}

// recommendation is the decision that a replica's release analyzer asks for.
type recommendation struct {
	Decision
	receivedAt Micros // 0: never
}

// put takes a replica's recommendation in place of its earlier one.
func (r *recommendations) put(replica int, recommended Decision, now Micros) {
	r.byReplica[replica] = recommendation{recommended, now}
}

// own returns what this replica's analyzer asks for.
func (r *recommendations) own() Decision { return r.byReplica[r.self].Decision }

// verdict returns what the recommendations come to: a rollback where enough replicas ask for it; else what this replica's analyzer
// asks for. While any replica asks for a rollback nobody votes to advance.
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

// countRollbacks returns how many replicas ask for a rollback of the present stage. Others' recommendations expire; this
// replica's own holds until its analyzer changes it.
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
