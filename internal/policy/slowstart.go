package policy

import "math"

const (
	// coldMargin of the configured overload multiple is used; the rest is for what the cost estimates miss.
	// coldLoad is what slots give a cold endpoint: what a busy fleet carries, well inside any multiple.
	// coldSlotShare: with slots a cold endpoint gets less than its segment, and warm ones would get the rest.
	coldMargin, coldLoad, coldSlotShare = 0.8, 0.6, 0.3
)

// warmUpFactor is the share of its capacity that a starting endpoint has at the least. It is 1 where the
// configuration gives no time after which overload brings one down.
func (e *endpointRecord) warmUpFactor() float64 {
	if e.Started <= 0 || e.slowStart.Duration <= 0 || e.slowStart.OverloadAfter <= 0 {
		return 1
	}
	return e.slowStart.warmUp().At(e.now - e.Started)
}

// coldBudget is an agent's share of what a cold endpoint takes. Below one request, agents use slots.
func (d *dispatcher) coldBudget(e *endpointRecord) float64 {
	overload := coldMargin * d.slowStart.OverloadMultiple * e.warmUpFactor()
	total := overload * float64(d.slowStart.OverloadAfter) * d.endpoints.warmConcurrency
	return total / float64(d.instance.Agents)
}

func (d *dispatcher) usesColdSlots(e *endpointRecord) bool {
	return e.warmUpFactor() < 1 && d.coldBudget(e) < d.meanCost
}

// fitsSlowStart is rule 4: each agent keeps to its share of what a cold endpoint takes before it falls over.
func (d *dispatcher) fitsSlowStart(req *request, e *endpointRecord) bool {
	if d.usesColdSlots(e) {
		return d.inColdSlot(e)
	}
	cost := d.expectedCost(req)
	for _, recent := range e.recentAttempts {
		cost += recent.cost
	}
	return e.warmUpFactor() == 1 || len(e.recentAttempts) == 0 || cost <= d.coldBudget(e)
}

// inColdSlot guards a cold endpoint against all agents together, also with hot keys and moved traffic: one
// request in an agent's slot, by the agents' indices and for OverloadAfter. It may leave it idle.
func (d *dispatcher) inColdSlot(e *endpointRecord) bool {
	slot := float64(d.slowStart.OverloadAfter)
	if n := len(e.recentAttempts); n > 0 && e.recentAttempts[n-1].sentAt > d.now-d.slowStart.OverloadAfter {
		return false
	}
	share := d.topShare
	if d.rankOf(e.Build, d.topBuild) != newestBuild {
		share = 1 - share
	}
	// Of agents with little traffic few have a request in their slot, so more slots may overlap.
	chanceInSlot := 1 - math.Exp(-slot*share/max(1, d.arrivalInterval))
	most := max(coldLoad, coldMargin*d.slowStart.OverloadMultiple)
	load := d.endpoints.warmConcurrency * min(coldLoad/max(chanceInSlot, 1e-9), most)
	phase := slotPhase(d.instance.Index, e.ID)
	slotsBy := func(age float64) float64 {
		warmed := d.slowStart.warmUp().Integral(max(0, age))
		return math.Floor(phase + load*warmed/d.meanCost/float64(d.instance.Agents))
	}
	age := float64(d.now - e.Started)
	return slotsBy(age) > slotsBy(age-slot)
}

// expectedCost is never below the mean: wrongly small hints would overfill the budget of a cold endpoint.
func (d *dispatcher) expectedCost(req *request) float64 {
	return max(float64(req.CostHint), d.meanCost)
}
