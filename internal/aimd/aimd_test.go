package aimd

import "testing"

func TestIncrease(t *testing.T) {
	limit := Limit{Value: 4}
	for range 4 {
		limit.Increase()
	}
	if limit.Value < 4.8 || limit.Value > 5 {
		t.Errorf("a round of good answers raised 4 to %v, want about 5", limit.Value)
	}
	limit = Limit{Value: 0.25}
	limit.Increase()
	if limit.Value != 0.5 {
		t.Errorf("a limit below one rose from 0.25 to %v, want the double", limit.Value)
	}
}

func TestDecrease(t *testing.T) {
	limit := Limit{Value: 10}
	limit.Decrease(1000, 1, 0.5, 100)
	limit.Decrease(1099, 1, 0.5, 100)
	if limit.Value != 5 {
		t.Errorf("two decreases within the interval left %v, want 5", limit.Value)
	}
	limit.Decrease(1100, 4, 0.5, 100)
	if limit.Value != 4 {
		t.Errorf("a decrease went to %v, want the minimum of 4", limit.Value)
	}
}
