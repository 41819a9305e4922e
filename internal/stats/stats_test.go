package stats

import "testing"

func TestMovingMean(t *testing.T) {
	if got := MovingMean(10, 20, 0.25); got != 12.5 {
		t.Errorf("MovingMean(10, 20, 0.25) = %v, want 12.5", got)
	}
}

func TestIndicator(t *testing.T) {
	if Indicator(true) != 1 || Indicator(false) != 0 {
		t.Error("want Indicator(true) = 1 and Indicator(false) = 0")
	}
}

func TestMedians(t *testing.T) {
	for _, test := range []struct {
		samples       []float64
		median, lower float64
	}{
		{[]float64{7}, 7, 7},
		{[]float64{9, 1}, 9, 1},
		{[]float64{5, 1, 3}, 3, 3},
		{[]float64{4, 1, 3, 2}, 3, 2},
	} {
		first := test.samples[0]
		if got := Median(test.samples); got != test.median {
			t.Errorf("Median(%v) = %v, want %v", test.samples, got, test.median)
		}
		if got := LowerMedian(test.samples); got != test.lower {
			t.Errorf("LowerMedian(%v) = %v, want %v", test.samples, got, test.lower)
		}
		if test.samples[0] != first {
			t.Errorf("Median or LowerMedian reordered the samples: %v", test.samples)
		}
	}
}
