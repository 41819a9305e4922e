package admission

import (
	"math"
	"testing"
)

// After a whole window of backlog the rate is the measured throughput. Before that, and without a backlog, it is at least the cost
// in progress divided by the mean response time.
func TestRateIsWhatIsAdmittedUnderBacklog(t *testing.T) {
	const (
		cost             = 20_000.0
		interval         = 10 * millisecond // time between admissions; at this cost, two microseconds of work are admitted per microsecond
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
		t.Errorf("with a backlog: got rate %.3f, want 2", rate)
	}
	for range 9 {
		estimator.recordAdmission(now, cost)
	}
	if rate := estimator.rate(now, meanResponseTime); rate > 2.5 {
		t.Errorf("with a backlog, ten requests in progress: got rate %.3f, want the throughput, 2.5 at most", rate)
	}
	estimator.recordBacklog(now, false)
	if rate, want := estimator.rate(now, meanResponseTime), 10.0; math.Abs(rate-want) > 0.05 {
		t.Errorf("without a backlog: got rate %.3f, want %.0f, ten requests per mean response time", rate, want)
	}
	estimator.recordBacklog(now, true)
	if rate := estimator.rate(now+throughputWindow-1, meanResponseTime); math.Abs(rate-10) > 0.05 {
		t.Errorf("with a backlog shorter than the window: got rate %.3f, want 10", rate)
	}
	if rate := estimator.rate(now+throughputWindow, meanResponseTime); rate != minAdmissionRate {
		t.Errorf("after a window of backlog without admissions: got rate %g, want minAdmissionRate", rate)
	}
}
