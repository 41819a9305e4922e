package policy

// capUtilization is the part of the exposure cap that the newest build's share of requests may use. The rest is left for retries.
const capUtilization = 0.8

// buildRank groups builds by their role in the rollout. A request tries the ranks one after the other.
type buildRank int

const (
	newestBuild  buildRank = iota // the newest build in the list: in evaluation, released last or not announced yet
	earlierBuild                  // all builds that have no other rank
	leavingBuild                  // builds that were rolled back, or are in evaluation although a newer build is ready
	buildRankCount
)

// buildSelector decides which builds a request tries and in which order. It goes by the rollout's state, the capacity of each
// build's ready endpoints and the request's trafficFraction. The dispatcher calls it for each request that it routes.
type buildSelector struct {
	rollout     *rolloutState
	endpoints   *endpointSet
	budget      *slowStartBudget
	newest      int     // the newest build that has a ready endpoint and was not rolled back
	newestShare float64 // share of requests that try the newest build first
}

// rankOf returns the rank of a build, given the newest build.
func (b *buildSelector) rankOf(build, newest int) buildRank {
	isEvaluated := build == b.rollout.build && b.rollout.phase == Evaluating
	isSuperseded := isEvaluated && build < newest
	if b.rollout.rolledBack[build] || isSuperseded {
		return leavingBuild
	}
	isRolloutBuildOrLater := build >= b.rollout.build && build > 0
	if build == newest && isRolloutBuildOrLater {
		return newestBuild
	}
	return earlierBuild
}

// rank returns the rank of a build as of the last call of updateShare.
func (b *buildSelector) rank(build int) buildRank { return b.rankOf(build, b.newest) }

// updateShare updates newest and newestShare. The share is the newest build's part of the capacity, limited to capUtilization
// times the build's exposure cap.
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

// ranksFor returns the ranks in the order in which a request tries them.
func (b *buildSelector) ranksFor(req *request) [buildRankCount]buildRank {
	if req.trafficFraction < b.newestShare {
		return [...]buildRank{newestBuild, earlierBuild, leavingBuild}
	}
	return [...]buildRank{earlierBuild, newestBuild, leavingBuild}
}
