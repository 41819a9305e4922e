// Package stats holds small statistical helpers: exponentially weighted means, medians and indicators.
//
// All functions are pure, so any goroutine may call them. The order of the floating-point operations is part of their contract:
// agents that get the same samples must compute bit-identical results.
package stats

import "slices"

// MovingMean returns an exponentially weighted mean after one more sample. The weight of the sample is between 0 and 1.
func MovingMean(mean, sample, weight float64) float64 {
	mean += (sample - mean) * weight
	return mean
}

// Indicator returns 1 if the condition holds and 0 if it does not.
func Indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// Median returns the middle sample, or the upper of the two middle samples of an even count. There must be at least one sample.
// The samples are not modified.
func Median(samples []float64) float64 {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// LowerMedian returns the middle sample, or the lower of the two middle samples of an even count. There must be at least one
// sample. The samples are not modified.
func LowerMedian(samples []float64) float64 {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}
