// Package stats holds small statistical helpers: exponentially weighted means, medians and indicators.
//
// All functions are pure, so any goroutine may call them. The order of the floating-point operations is part of what they
// promise: agents that see the same samples have to reach the same bits.
package stats

import "slices"

// MovingMean returns an exponentially weighted mean after one more sample. Weight is the sample's share, between 0 and 1.
func MovingMean(mean, sample, weight float64) float64 {
	mean += (sample - mean) * weight
	return mean
}

// Indicator returns 1 where the condition holds and 0 where it does not.
func Indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// Median returns the middle sample, of an even number the upper one. Samples may not be empty and are not changed.
func Median(samples []float64) float64 {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// LowerMedian returns the middle sample, of an even number the lower one. Samples may not be empty and are not changed.
func LowerMedian(samples []float64) float64 {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}
