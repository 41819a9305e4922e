package coordinator

import (
	"time"

	"switchfork/internal/cluster/election"
)

// recommendationsPerLease is how often a recommendation is repeated within the duration of a lease. It is repeated because other agents'
// replicas drop a recommendation that is not renewed in time.
const recommendationsPerLease = 2

// repeatedRecommendation is the decision that this agent's release analyzer recommends, and when it was last given to the replica.
type repeatedRecommendation struct {
	interval time.Duration
	decision election.Decision // the zero value: none yet
	givenAt  time.Time
}

func (r *repeatedRecommendation) set(decision election.Decision) {
	r.decision = decision
	r.givenAt = time.Now()
}

// isDue reports whether the recommendation has to be given to the replica again.
func (r *repeatedRecommendation) isDue() bool {
	return r.decision != (election.Decision{}) && time.Since(r.givenAt) >= r.interval
}
