package policy

import (
	"cmp"
	"slices"
)

// endpointEvidence is the evidence from one endpoint against its build in the current stage, in log likelihood ratios.
type endpointEvidence struct {
	failureRatio    float64
	failureCusum    float64 // cumulative sum of the steps of failureRatio; it never falls below 0
	latenessRatio   float64
	flooredLateness float64 // sum of the latenessRatio steps, with a higher floor; counts against the build if most endpoints are late
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
	v.latenessRatio = max(v.latenessRatio+msg.step, -maxGoodEvidence)
	v.flooredLateness = max(v.flooredLateness+msg.step, msg.minRatio)
	v.hasAny = true
}

// combined returns the evidence on failures, plus the evidence on lateness if that is in favor of the build.
func (v *endpointEvidence) combined() float64 { return v.failureRatio + min(0, v.flooredLateness) }

// isFailing reports whether failures at the endpoint alone would hold the build back.
func (v *endpointEvidence) isFailing() bool { return v.failureCusum >= holdThreshold }

// isConclusive reports whether the endpoint alone would roll the build back.
func (v *endpointEvidence) isConclusive() bool {
	return v.failureRatio+v.flooredLateness >= decisionThreshold
}

// collectedEvidence is the evidence of several endpoints; each slice has one element per endpoint.
type collectedEvidence struct {
	failure         []float64
	lateness        []float64
	flooredLateness []float64
	combined        []float64
	failingCount    int // endpoints for which isFailing holds
}

func collectEvidence(endpoints []*endpointRecord) (collected collectedEvidence) {
	for _, e := range endpoints {
		collected.failure = append(collected.failure, e.evidence.failureRatio)
		collected.lateness = append(collected.lateness, e.evidence.latenessRatio)
		collected.flooredLateness = append(collected.flooredLateness, e.evidence.flooredLateness)
		collected.combined = append(collected.combined, e.evidence.combined())
		if e.evidence.isFailing() {
			collected.failingCount++
		}
	}
	return collected
}

// isEarlierBuildFailing reports whether any ready endpoint whose build is earlier than build has an error rate above errorRate.
func (s *endpointSet) isEarlierBuildFailing(build int, errorRate float64) bool {
	return slices.ContainsFunc(s.all, func(e *endpointRecord) bool {
		return e.isReady() && e.Build < build && e.errorRate > errorRate
	})
}

// evidenceCount returns the number of ready endpoints that have evidence and the same build as the given endpoint. It always
// counts the given endpoint.
func (s *endpointSet) evidenceCount(of *endpointRecord) int {
	count := 0
	for _, e := range s.all {
		if e == of || e.evidence.hasAny && e.isReady() && e.Build == of.Build {
			count++
		}
	}
	return count
}

// withEvidence returns a build's ready endpoints that have evidence. If endpoints with an earlier build fail too, it leaves out
// endpoints with an elevated error rate.
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

// byAge returns the endpoints whose start is known, the oldest first.
func byAge(endpoints []*endpointRecord) []*endpointRecord {
	known := slices.DeleteFunc(slices.Clone(endpoints), func(e *endpointRecord) bool { return e.Started <= 0 })
	slices.SortStableFunc(known, func(a, b *endpointRecord) int { return cmp.Compare(a.Started, b.Started) })
	return known
}
