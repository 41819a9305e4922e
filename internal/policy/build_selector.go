package policy

// capUtilization of the exposure cap is used on purpose; the rest leaves room for retries.
const capUtilization = 0.8

// buildRank is the order of precedence by which an endpoint's build is looked for.
type buildRank int

const (
	newestBuild  buildRank = iota // the newest build in the list, in evaluation or released last
	earlierBuild                  // the builds to use otherwise
	leavingBuild                  // builds that were rolled back or are being replaced
	buildRankCount
)

// buildSelector decides which builds a request tries, in which order: from the rollout's state, the capacity of each build's
// ready endpoints and the request's place in the traffic. The dispatcher calls it for each request that it routes.
type buildSelector struct {
	rollout     *rolloutState
	endpoints   *endpointSet
	budget      *slowStartBudget
	newest      int     // the newest build that is ready
	newestShare float64 // share of requests that go to it
}

// rankOf is the rank of a build, where newest is the newest one.
func (b *buildSelector) rankOf(build, newest int) buildRank {
	isEvaluated := build == b.rollout.build && b.rollout.phase == Evaluating
	isSuperseded := isEvaluated && build < newest
	if b.rollout.rolledBack[build] || isSuperseded {
		return leavingBuild
	}
	isAnnounced := build >= b.rollout.build && build > 0
	if build == newest && isAnnounced {
		return newestBuild
	}
	return earlierBuild
}

// rank is the rank of a build by the last update.
func (b *buildSelector) rank(build int) buildRank { return b.rankOf(build, b.newest) }

// updateShare finds the newest build and the share of requests that go to it: its part of the capacity, within the cap.
func (b *buildSelector) updateShare() {
	newest := b.endpoints.highestBuild(b.rollout.rolledBack)
	capacity := b.capacityByRank(newest)
	total := max(capacity[newestBuild], capacity[earlierBuild])
	if b.rollout.plan.ReplacesInPlace {
		total = capacity[newestBuild] + capacity[earlierBuild]
	}
	share := capacity[newestBuild] / max(total, minCapacity)
	if limit := b.rollout.limitOf(newest); limit.isCapped {
		share = min(share, capUtilization*limit.share)
	}
	b.newest = newest
	b.newestShare = share
}

func (b *buildSelector) capacityByRank(newest int) (capacity [buildRankCount]float64) {
	for _, e := range b.endpoints.all {
		if !e.isReady() {
			continue
		}
		usable := 1.0
		if b.budget.usesSlots(e) {
			usable -= slotCapacityLoss
		}
		capacity[b.rankOf(e.Build, newest)] += e.capacity() * usable
	}
	return capacity
}

// ranksFor is the order in which a request tries the ranks.
func (b *buildSelector) ranksFor(req *request) [buildRankCount]buildRank {
	if req.trafficFraction < b.newestShare {
		return [...]buildRank{newestBuild, earlierBuild, leavingBuild}
	}
	return [...]buildRank{earlierBuild, newestBuild, leavingBuild}
}
