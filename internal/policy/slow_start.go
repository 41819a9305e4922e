package policy

import (
	"math"

	"switchfork/internal/hashing"
)

const (
	// overloadMargin of the configured overload multiple is used; the rest is for what the cost estimates miss.
	overloadMargin = 0.8
	// slotLoad is the load that slots give an endpoint in slow start: what a busy fleet carries.
	slotLoad = 0.6
	// slotCapacityLoss: with slots an endpoint gets less than its segment of the ring, and warm ones would get the rest.
	slotCapacityLoss = 0.7
	// minSlotChance is the least chance, to divide by, that an agent has a request in its slot.
	minSlotChance = 1e-9
)

// warmUpFactor is the share of its capacity that a starting endpoint has at the least. It is 1 where the configuration gives no
// time after which overload brings one down.
func (e *endpointRecord) warmUpFactor() float64 {
	if e.Started <= 0 || e.slowStart.Duration <= 0 || e.slowStart.OverloadAfter <= 0 {
		return 1
	}
	return e.slowStart.warmUp().At(e.now - e.Started)
}

func (e *endpointRecord) isWarmingUp() bool { return e.warmUpFactor() < 1 }

// slowStartBudget decides how much work an agent may give an endpoint in slow start, and whether that is less than a request, so
// that agents take turns in slots. The build selector and the endpoint selector ask it for each endpoint.
type slowStartBudget struct {
	endpoints *endpointSet
	traffic   *trafficEstimate
	limits    SlowStart
	agents    int
}

// of is an agent's share, in µs of work within OverloadAfter, of what an endpoint takes before it falls over.
func (b *slowStartBudget) of(e *endpointRecord) float64 {
	overload := overloadMargin * b.limits.OverloadMultiple * e.warmUpFactor()
	total := overload * float64(b.limits.OverloadAfter) * b.endpoints.warmConcurrency
	return total / float64(b.agents)
}

// usesSlots reports whether agents take turns at an endpoint, as their budgets are below one request.
func (b *slowStartBudget) usesSlots(e *endpointRecord) bool {
	return e.isWarmingUp() && b.of(e) < b.traffic.meanCost
}

// slowStartRule decides whether one more attempt of a request fits an endpoint in slow start (rule 4): each agent keeps to its
// share of what the endpoint takes before it falls over. The rules ask it for each candidate.
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

// isInSlot guards an endpoint against all agents together, also with hot keys and moved traffic: one request in an agent's slot,
// by the agents' indices and for OverloadAfter. It may leave the endpoint idle.
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

// slotLoad is the load, in requests at one time, by which slots follow one another. Of agents with little traffic few have a
// request in their slot, so more slots may overlap.
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
