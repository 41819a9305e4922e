// Package sprt computes the steps of Wald's sequential probability ratio test. A step is how far one outcome moves the logarithm
// of the likelihood ratio between "the rate is bad" and "the rate is the baseline's".
//
// A Test is an immutable value; the caller keeps the sum of the steps and its thresholds.
package sprt

import "math"

// Bounds keep the two rates of a test apart and inside (0, 1).
type Bounds struct {
	MaxBadRate float64 // highest bad rate
	MinRatio   float64 // lowest ratio of the bad rate to the baseline rate
}

// Test compares the failure rate of a baseline with a bad failure rate.
type Test struct {
	baseline, bad float64
}

// NewTest returns the test of a baseline rate against a bad rate that is factor times as high, both within bounds.
func NewTest(baseline, factor float64, bounds Bounds) Test {
	bad := min(factor*baseline, bounds.MaxBadRate)
	return Test{baseline: min(baseline, bad/bounds.MinRatio), bad: bad}
}

// Failure returns the step of one failed outcome. It is positive.
func (t Test) Failure() float64 { return math.Log(t.bad / t.baseline) }

// Success returns the step of one good outcome. It is negative.
func (t Test) Success() float64 { return math.Log((1 - t.bad) / (1 - t.baseline)) }

// Step returns the step of one outcome.
func (t Test) Step(failed bool) float64 {
	if failed {
		return t.Failure()
	}
	return t.Success()
}

// ExponentialMean returns the sum of the steps of count exponentially distributed durations whose sample mean is mean, in a test
// of the mean expected against a mean that is factor times as high.
func ExponentialMean(count, mean, expected, factor float64) float64 {
	return count * (mean/expected*(1-1/factor) - math.Log(factor))
}
