package sprt

import (
	"math"
	"testing"
)

func TestSteps(t *testing.T) {
	test := NewTest(0.1, 3, Bounds{MaxBadRate: 0.95, MinRatio: 1.05})
	if got, want := test.Step(true), math.Log(3); math.Abs(got-want) > 1e-12 {
		t.Errorf("Step(true) = %v, want %v", got, want)
	}
	if got, want := test.Step(false), math.Log(0.7/0.9); math.Abs(got-want) > 1e-12 {
		t.Errorf("Step(false) = %v, want %v", got, want)
	}
}

func TestBoundsKeepTheRatesApart(t *testing.T) {
	test := NewTest(1, 3, Bounds{MaxBadRate: 0.95, MinRatio: 1.05})
	if got, want := test.Failure(), math.Log(1.05); math.Abs(got-want) > 1e-12 {
		t.Errorf("Failure() = %v, want %v", got, want)
	}
	if test.Success() >= 0 {
		t.Errorf("Success() = %v, want less than 0", test.Success())
	}
}

func TestExponentialMean(t *testing.T) {
	if got := ExponentialMean(10, 1, 1, 1.6); got >= 0 {
		t.Errorf("step of durations with the expected mean: got %v, want less than 0", got)
	}
	if got := ExponentialMean(10, 1.6, 1, 1.6); got <= 0 {
		t.Errorf("step of durations with the bad mean: got %v, want more than 0", got)
	}
}
