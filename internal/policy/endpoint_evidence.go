package policy

import (
	"cmp"
	"slices"
)

// endpointEvidence is what the outcomes at one endpoint say against its build in this stage, as log likelihood ratios.
type endpointEvidence struct {
	failureRatio    float64
	failureCusum    float64 // the same, but never below 0
	latenessRatio   float64
	flooredLateness float64 // the same with less saved up: what counts where most endpoints are late
	hasAny          bool
}

func (v *endpointEvidence) addFailureStep(msg failureStep) {
	if msg.step == 0 {
		return
	}
	v.failureRatio = max(v.failureRatio+msg.step, msg.minRatio)
	v.failureCusum = max(0, v.failureCusum+msg.step)
	v.hasAny = true
}

func (v *endpointEvidence) addLatenessStep(msg latenessStep) {
	if msg.step == 0 {
		return
	}
	v.latenessRatio = max(v.latenessRatio+msg.step, -maxSavedEvidence)
	v.flooredLateness = max(v.flooredLateness+msg.step, msg.minRatio)
	v.hasAny = true
}

// combined counts lateness only where that speaks for the build.
func (v *endpointEvidence) combined() float64 { return v.failureRatio + min(0, v.flooredLateness) }

// isFailing reports whether failures at the endpoint alone would hold the build back.
func (v *endpointEvidence) isFailing() bool { return v.failureCusum >= holdThreshold }

// isConclusive reports whether the endpoint alone would roll the build back.
func (v *endpointEvidence) isConclusive() bool {
	return v.failureRatio+v.flooredLateness >= decisionThreshold
}

// collectedEvidence is the evidence of several endpoints, one figure each.
type collectedEvidence struct {
	failure         []float64
	lateness        []float64
	flooredLateness []float64
	combined        []float64
	failingCount    int // endpoints
}

func collectEvidence(endpoints []*endpointRecord) (seen collectedEvidence) {
	for _, e := range endpoints {
		seen.failure = append(seen.failure, e.evidence.failureRatio)
		seen.lateness = append(seen.lateness, e.evidence.latenessRatio)
		seen.flooredLateness = append(seen.flooredLateness, e.evidence.flooredLateness)
		seen.combined = append(seen.combined, e.evidence.combined())
		if e.evidence.isFailing() {
			seen.failingCount++
		}
	}
	return seen
}

// isEarlierBuildFailing reports whether a ready endpoint with an earlier build has more than the given error rate.
func (s *endpointSet) isEarlierBuildFailing(build int, errorRate float64) bool {
	return slices.ContainsFunc(s.all, func(e *endpointRecord) bool {
		return e.isReady() && e.Build < build && e.errorRate > errorRate
	})
}

// evidenceCount is the number of ready endpoints with the same build that have evidence, the given one among them.
func (s *endpointSet) evidenceCount(of *endpointRecord) int {
	count := 0
	for _, e := range s.all {
		if e == of || e.evidence.hasAny && e.isReady() && e.Build == of.Build {
			count++
		}
	}
	return count
}

// withEvidence returns a build's ready endpoints that have evidence. Where endpoints with an earlier build fail too, it leaves
// out those with an elevated error rate.
func (s *endpointSet) withEvidence(build int, isEarlierFailing bool) []*endpointRecord {
	var found []*endpointRecord
	for e := range s.readyWith(build) {
		isSuspect := isEarlierFailing && e.errorRate > elevatedErrorRate
		if e.evidence.hasAny && !isSuspect {
			found = append(found, e)
		}
	}
	return found
}

// byAge returns the endpoints in order of their start, without those whose start is not known.
func byAge(endpoints []*endpointRecord) []*endpointRecord {
	known := slices.DeleteFunc(slices.Clone(endpoints), func(e *endpointRecord) bool { return e.Started <= 0 })
	slices.SortStableFunc(known, func(a, b *endpointRecord) int { return cmp.Compare(a.Started, b.Started) })
	return known
}
