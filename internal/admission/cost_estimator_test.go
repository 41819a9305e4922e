package admission

import "testing"

// A request is charged its cost hint, but at least a fraction of the mean cost of its class. Without a hint it is charged the mean.
func TestCostEstimateFollowsHints(t *testing.T) {
	estimator := newCostEstimator(testClasses())
	mean := float64(second) / initialCostDivisor
	for _, test := range []struct {
		hint Micros
		want float64
	}{{0, mean}, {1, minHintFraction * mean}, {100 * millisecond, float64(100 * millisecond)}, {10 * second, float64(10 * second)}} {
		if got := estimator.estimate(&Arrival{CostHint: test.hint}); got != test.want {
			t.Errorf("hint %d: got cost %.0f, want %.0f", test.hint, got, test.want)
		}
	}
}

// The mean cost of a class converges to the cost of its requests, which is the cost hint, or the response time without a hint.
func TestMeanCostFollowsRequests(t *testing.T) {
	estimator := newCostEstimator(testClasses())
	for range 1000 {
		hinted := &Arrival{Class: keyedClass, CostHint: 30 * millisecond}
		estimator.recordArrival(hinted)
		estimator.recordResponseTime(hinted, 70*millisecond)
		unhinted := &Arrival{Class: unkeyedClass}
		estimator.recordArrival(unhinted)
		estimator.recordResponseTime(unhinted, 70*millisecond)
	}
	for class, want := range map[int]Micros{keyedClass: 30 * millisecond, unkeyedClass: 70 * millisecond} {
		got := Micros(estimator.estimate(&Arrival{Class: class}))
		if got < want-1 || got > want+1 {
			t.Errorf("class %d: got mean cost %d, want %d", class, got, want)
		}
	}
}

// A request may wait for half of its latency objective. If responses are slow, the longest wait is shorter, but never shorter than a
// small fraction of the objective.
func TestMaxWaitLeavesTimeForResponse(t *testing.T) {
	estimator := newCostEstimator(testClasses())
	for meanResponseTime, want := range map[Micros]Micros{
		10 * millisecond:  500 * millisecond,
		200 * millisecond: 400 * millisecond,
		2 * second:        50 * millisecond,
	} {
		estimator.meanResponseTime = float64(meanResponseTime)
		if got := estimator.maxWait(unkeyedClass); got != want {
			t.Errorf("mean response time %d: got longest wait %d, want %d", meanResponseTime, got, want)
		}
	}
}
