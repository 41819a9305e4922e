package policy

import (
	"math"

	"switchfork/internal/hashing"
)

const (
	// overloadMargin is the part of the configured overload multiple that is used. The rest allows for errors in the cost
	// estimates.
	overloadMargin = 0.8
	// slotLoad is the load that the agents' time slots put on an endpoint in slow start, as a fraction of the endpoint's capacity
	// at that time. It is the load of endpoints in a busy fleet.
	slotLoad = 0.6
	// slotCapacityLoss is the fraction by which the build selector reduces the capacity of an endpoint with time slots. Such an
	// endpoint gets fewer requests than its segment of the ring holds. Without the reduction, the warm endpoints of its build
	// would get the rest.
	slotCapacityLoss = 0.7
	// minSlotChance is a lower bound on the chance that an agent has a request in its time slot. It avoids a division by 0.
	minSlotChance = 1e-9
)

// warmUpFactor returns the least share of its full capacity that a starting endpoint has. The factor is 1 if the endpoint's start
// is unknown, or if Duration or OverloadAfter is not configured.
func (e *endpointRecord) warmUpFactor() float64 {
	if e.Started <= 0 || e.slowStart.Duration <= 0 || e.slowStart.OverloadAfter <= 0 {
		return 1
	}
	return e.slowStart.warmUp().At(e.now - e.Started)
}

func (e *endpointRecord) isWarmingUp() bool { return e.warmUpFactor() < 1 }

// slowStartBudget decides how much work an agent may send to an endpoint in slow start. If that is less than one request, the
// agents take turns in time slots. The build selector and the endpoint selector consult it for each endpoint.
type slowStartBudget struct {
	endpoints *endpointSet
	traffic   *trafficEstimate
	limits    SlowStart
	agents    int
}

// of returns an agent's share of the work that an endpoint can take before overload brings it down, in µs of work within
// OverloadAfter.
func (b *slowStartBudget) of(e *endpointRecord) float64 {
	overload := overloadMargin * b.limits.OverloadMultiple * e.warmUpFactor()
	total := overload * float64(b.limits.OverloadAfter) * b.endpoints.warmConcurrency
	return total / float64(b.agents)
}

// usesSlots reports whether agents take turns at an endpoint because their budgets are below one request.
func (b *slowStartBudget) usesSlots(e *endpointRecord) bool {
	return e.isWarmingUp() && b.of(e) < b.traffic.meanCost
}

// slowStartRule decides whether one more attempt of a request fits an endpoint in slow start (rule 4). Each agent keeps to its
// share of the work that the endpoint can take before overload brings it down. attemptRules consults it for each candidate.
type slowStartRule struct {
	*sharedState
	endpoints  *endpointSet
	traffic    *trafficEstimate
	builds     *buildSelector
	budget     *slowStartBudget
	limits     SlowStart
	agentIndex int
	agents     int
}

func (r *slowStartRule) fits(req *request, e *endpointRecord) bool {
	if r.budget.usesSlots(e) {
		return r.isInSlot(e)
	}
	if !e.isWarmingUp() || len(e.recentAttempts) == 0 {
		return true
	}
	cost := r.traffic.expectedCost(req)
	for _, recent := range e.recentAttempts {
		cost += recent.cost
	}
	return cost <= r.budget.of(e)
}

// isInSlot reports whether this agent has an unused time slot at an endpoint now. A slot is for one request and lasts for
// OverloadAfter; its time depends on the agent's index. Slots limit the load from all agents together, even with hot keys and
// moved traffic, but may leave the endpoint idle.
func (r *slowStartRule) isInSlot(e *endpointRecord) bool {
	if r.hasUsedSlot(e) {
		return false
	}
	load := r.slotLoad(e)
	phase := slotPhase(r.agentIndex, e.ID)
	slotsBy := func(age float64) float64 {
		warmedUp := r.limits.warmUp().Integral(max(0, age))
		return math.Floor(phase + load*warmedUp/r.traffic.meanCost/float64(r.agents))
	}
	age := float64(r.now - e.Started)
	return slotsBy(age) > slotsBy(age-float64(r.limits.OverloadAfter))
}

func (r *slowStartRule) hasUsedSlot(e *endpointRecord) bool {
	count := len(e.recentAttempts)
	return count > 0 && e.recentAttempts[count-1].sentAt > r.now-r.limits.OverloadAfter
}

// slotLoad returns the load that the agents' time slots would put on an endpoint at full capacity if every slot were used, in
// concurrent requests. The higher this load, the more quickly slots follow one another and the more of them overlap. If agents
// have little traffic, few of them have a request in their slot, so more slots may overlap.
func (r *slowStartRule) slotLoad(e *endpointRecord) float64 {
	share := r.builds.newestShare
	if r.builds.rank(e.Build) != newestBuild {
		share = 1 - share
	}
	slot := float64(r.limits.OverloadAfter)
	chanceInSlot := 1 - math.Exp(-slot*share/max(1, r.traffic.arrivalInterval))
	maxLoad := max(slotLoad, overloadMargin*r.limits.OverloadMultiple)
	return r.endpoints.warmConcurrency * min(slotLoad/max(chanceInSlot, minSlotChance), maxLoad)
}

// slotPhase spreads the agents' slots at an endpoint evenly over the interval from 0 to 1 (golden ratio sequence).
func slotPhase(agent int, endpointID uint32) float64 {
	_, phase := math.Modf(float64(agent)*math.Phi + float64(hashing.Mix64(uint64(endpointID))>>40)/(1<<24))
	return phase
}
