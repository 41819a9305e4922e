package policy

import (
	"math"
	"testing"
)

func TestEndpointEvidenceHasAFloor(t *testing.T) {
	var evidence endpointEvidence
	for range 100 {
		evidence.addFailureStep(failureStep{step: -0.5, minRatio: -2})
		evidence.addLatenessStep(latenessStep{step: -0.5, minRatio: -1})
	}
	if evidence.failureRatio != -2 || evidence.flooredLateness != -1 || evidence.latenessRatio != -maxGoodEvidence {
		t.Errorf("good outcomes alone give %+v, want the floors -2, -1 and %d", evidence, -maxGoodEvidence)
	}
	if evidence.isFailing() || evidence.isConclusive() {
		t.Error("good outcomes speak against a build")
	}
	for range 3 {
		evidence.addFailureStep(failureStep{step: 2, minRatio: -2})
	}
	if !evidence.isFailing() || !evidence.isConclusive() {
		t.Errorf("three failures after good outcomes are not conclusive: %+v", evidence)
	}
}

func TestBoundedSumLimitsOneEndpoint(t *testing.T) {
	if got := boundedSum([]float64{50}); got != 50 {
		t.Errorf("a single endpoint's evidence counts %v of 50, want all", got)
	}
	if got := boundedSum([]float64{50, 0}); got != maxEndpointSum {
		t.Errorf("one of two endpoints counts %v, want %v", got, maxEndpointSum)
	}
	many := make([]float64, 100)
	many[0] = 50
	if got, want := boundedSum(many), float64(evidenceQuorum*decisionThreshold)/100; math.Abs(got-want) > 1e-9 {
		t.Errorf("one of 100 endpoints counts %v, want %v", got, want)
	}
}

func TestOldestEndpointsSpeakForThemselves(t *testing.T) {
	var endpoints []*endpointRecord
	for age := range 30 {
		e := &endpointRecord{Endpoint: Endpoint{Started: Micros(100 - age)}}
		if age >= 25 { // the five oldest fail
			e.evidence = endpointEvidence{failureRatio: 1.5, failureCusum: 1.5, hasAny: true}
		}
		endpoints = append(endpoints, e)
	}
	if got := oldestEndpointsRatio(endpoints); got != 5*1.5 {
		t.Errorf("five failing oldest endpoints of 30 have the ratio %v, want %v", got, 5*1.5)
	}
	endpoints[25].evidence, endpoints[0].evidence = endpoints[0].evidence, endpoints[25].evidence
	if got := oldestEndpointsRatio(endpoints[:5]); got != 0 {
		t.Errorf("one failing young endpoint of five has the ratio %v, want 0", got)
	}
}
