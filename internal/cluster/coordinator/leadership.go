package coordinator

import (
	"log/slog"

	"switchfork/internal/cluster/election"
)

// leadershipObserver exports the remaining lease as a metric, and logs and counts when this agent gains or loses the leadership.
type leadershipObserver struct {
	metrics *replicaMetrics
	term    uint64 // term in which this agent is the leader; 0: this agent is not the leader
	hasLeft bool   // this agent was asked to hand over its leadership
}

func (o *leadershipObserver) observe(status election.Status) {
	o.metrics.leaseRemaining.Store(status.LeaseRemaining)
	switch {
	case status.IsLeader && status.Term != o.term:
		o.metrics.electionsWon.Inc()
		slog.Info("leadership acquired", "term", status.Term, "members", status.Members.Count(),
			"earlier_votes_expire_ms", status.EarlierVotesExpireIn/microsPerMilli)
		o.term = status.Term
	case !status.IsLeader && o.term != 0:
		if o.hasLeft {
			o.metrics.handOvers.Inc()
		}
		slog.Info("leadership lost", "term", o.term, "handed_over", o.hasLeft)
		o.term = 0
	}
}
