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
		t.Errorf("after good outcomes alone got %+v, want failureRatio -2, flooredLateness -1 and latenessRatio %d",
			evidence, -maxGoodEvidence)
	}
	if evidence.isFailing() || evidence.isConclusive() {
		t.Error("isFailing or isConclusive is true after good outcomes alone, want false")
	}
	for range 3 {
		evidence.addFailureStep(failureStep{step: 2, minRatio: -2})
	}
	if !evidence.isFailing() || !evidence.isConclusive() {
		t.Errorf("after three failures got %+v, want isFailing and isConclusive to be true", evidence)
	}
}

func TestBoundedSumLimitsOneEndpoint(t *testing.T) {
	if got := boundedSum([]float64{50}); got != 50 {
		t.Errorf("boundedSum of a single endpoint with 50: got %v, want 50", got)
	}
	if got := boundedSum([]float64{50, 0}); got != maxEndpointSum {
		t.Errorf("boundedSum of one endpoint with 50 and one with 0: got %v, want %v", got, maxEndpointSum)
	}
	many := make([]float64, 100)
	many[0] = 50
	if got, want := boundedSum(many), float64(evidenceQuorum*decisionThreshold)/100; math.Abs(got-want) > 1e-9 {
		t.Errorf("boundedSum of one endpoint with 50 and 99 with 0: got %v, want %v", got, want)
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
		t.Errorf("ratio of 30 endpoints whose five oldest fail: got %v, want %v", got, 5*1.5)
	}
	endpoints[25].evidence, endpoints[0].evidence = endpoints[0].evidence, endpoints[25].evidence
	if got := oldestEndpointsRatio(endpoints[:5]); got != 0 {
		t.Errorf("ratio of five endpoints whose youngest fails: got %v, want 0", got)
	}
}
