package aimd

import "testing"

func TestIncrease(t *testing.T) {
	limit := Limit{Value: 4}
	for range 4 {
		limit.Increase()
	}
	if limit.Value < 4.8 || limit.Value > 5 {
		t.Errorf("limit of 4 after 4 good answers: got %v, want 4.8 to 5", limit.Value)
	}
	limit = Limit{Value: 0.25}
	limit.Increase()
	if limit.Value != 0.5 {
		t.Errorf("limit of 0.25 after a good answer: got %v, want 0.5", limit.Value)
	}
}

func TestDecrease(t *testing.T) {
	limit := Limit{Value: 10}
	limit.Decrease(1000, 1, 0.5, 100)
	limit.Decrease(1099, 1, 0.5, 100)
	if limit.Value != 5 {
		t.Errorf("limit after two decreases within the interval: got %v, want 5", limit.Value)
	}
	limit.Decrease(1100, 4, 0.5, 100)
	if limit.Value != 4 {
		t.Errorf("limit after a decrease: got %v, want the minimum of 4", limit.Value)
	}
}
