package main

import (
	"fmt"
	"slices"
	"strings"
)

// Arguments of quantile.
const (
	median       = 0.5
	percentile99 = 0.99
	maximum      = 1
)

// thresholds collects the measurements that miss their thresholds.
type thresholds struct {
	missed []string
}

// atLeast checks that a measurement is not below a bound. NaN misses the bound.
func (t *thresholds) atLeast(name string, got, bound float64) {
	if !(got >= bound) {
		t.missed = append(t.missed, fmt.Sprintf("%s is %.3f, expected at least %.2f", name, got, bound))
	}
}

// atMost checks that a measurement is not above a bound. NaN misses the bound.
func (t *thresholds) atMost(name string, got, bound float64) {
	if !(got <= bound) {
		t.missed = append(t.missed, fmt.Sprintf("%s is %.3f, expected at most %.2f", name, got, bound))
	}
}

// fail adds a failure that is not a measurement.
func (t *thresholds) fail(description string) {
	t.missed = append(t.missed, description)
}

// err returns an error that lists all failures, or nil.
func (t *thresholds) err() error {
	if len(t.missed) == 0 {
		return nil
	}
	return fmt.Errorf("thresholds not met:\n  %s", strings.Join(t.missed, "\n  "))
}

// quantile sorts values and returns their quantile at part, a fraction from 0 to 1. It returns 0 if values is empty.
func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(part*float64(len(values))))]
}
