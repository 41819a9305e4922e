package ramp

import "testing"

func TestLinear(t *testing.T) {
	linear := Linear{Initial: 0.5, Duration: 100}
	for age, want := range map[int64]float64{-10: 0.5, 0: 0.5, 50: 0.75, 100: 1, 1000: 1} {
		if got := linear.At(age); got != want {
			t.Errorf("At(%d) = %v, want %v", age, got, want)
		}
	}
	if got := linear.Integral(100); got != 75 {
		t.Errorf("Integral(100) = %v, want 75", got)
	}
}
