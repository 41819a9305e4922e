package coordinator

import (
	"time"

	"switchfork/internal/cluster/election"
)

// recommendationsPerLease is how often a recommendation is repeated, since other agents' replicas let an old one expire.
const recommendationsPerLease = 2

// repeatedRecommendation is what this agent's release analyzer asks for, and when the replica was last given it.
type repeatedRecommendation struct {
	interval time.Duration
	decision election.Decision // the zero value: none yet
	givenAt  time.Time
}

func (r *repeatedRecommendation) set(decision election.Decision) {
	r.decision = decision
	r.givenAt = time.Now()
}

// isDue reports whether the replica has to be given the recommendation again.
func (r *repeatedRecommendation) isDue() bool {
	return r.decision != (election.Decision{}) && time.Since(r.givenAt) >= r.interval
}
