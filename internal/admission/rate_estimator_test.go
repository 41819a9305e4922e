package admission

import (
	"math"
	"testing"
)

// While requests wait, the rate is what is admitted; until they have waited for a whole window, it is at least what is in
// progress over the time that it takes.
func TestRateIsWhatIsAdmittedUnderBacklog(t *testing.T) {
	const (
		cost             = 20_000.0
		interval         = 10 * millisecond // so two microseconds of work are admitted each microsecond
		meanResponseTime = 20_000.0
	)
	estimator := newRateEstimator()
	estimator.recordBacklog(0, true)
	now := Micros(0)
	for ; now < 10*second; now += interval {
		estimator.recordAdmission(now, cost)
		if now > 0 {
			estimator.recordFinished(cost)
		}
	}
	if rate := estimator.rate(now, meanResponseTime); math.Abs(rate-2) > 0.05 {
		t.Errorf("under backlog the rate is %.3f, want 2", rate)
	}
	for range 9 {
		estimator.recordAdmission(now, cost)
	}
	if rate := estimator.rate(now, meanResponseTime); rate > 2.5 {
		t.Errorf("under backlog the rate is %.3f, want what was admitted", rate)
	}
	estimator.recordBacklog(now, false)
	if rate, want := estimator.rate(now, meanResponseTime), 10.0; math.Abs(rate-want) > 0.05 {
		t.Errorf("without backlog the rate is %.3f, want %.0f: ten requests in the time of one", rate, want)
	}
	estimator.recordBacklog(now, true)
	if rate := estimator.rate(now+throughputWindow-1, meanResponseTime); math.Abs(rate-10) > 0.05 {
		t.Errorf("with a short backlog the rate is %.3f, want 10", rate)
	}
	if rate := estimator.rate(now+throughputWindow, meanResponseTime); rate != minAdmissionRate {
		t.Errorf("after a window of backlog without an admission the rate is %g, want the least one", rate)
	}
}
