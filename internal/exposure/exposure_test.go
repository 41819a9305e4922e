package exposure

import "testing"

func TestFitsWithinShareAndAllowance(t *testing.T) {
	var window Window
	for at := range int64(10) {
		window.RecordRequest(at, 0)
	}
	if !window.Fits(2, 0.2, 1) {
		t.Error("Fits is false for the first attempt, want true at an allowance of one")
	}
	window.RecordAttempt(10, 0, 2)
	if !window.Fits(3, 0.2, 1) {
		t.Error("Fits is false for a build without attempts, want true: attempts at another build do not count")
	}
	if window.Fits(2, 0.2, 1) {
		t.Error("Fits is true for a second attempt without a request since the first, want false at an allowance of one")
	}
	if !window.Fits(2, 0.2, 2) {
		t.Error("Fits is false for a second attempt, want true at an allowance of two")
	}
	if window.Fits(2, 0, 100) {
		t.Error("Fits is true at a share of 0, want false")
	}
}

func TestWhatIsOldIsForgotten(t *testing.T) {
	var window Window
	window.RecordAttempt(0, -100, 2)
	window.RecordAttempt(10, -90, 2)
	if window.Fits(2, 1, 2) {
		t.Error("Fits is true for a third attempt, want false at an allowance of two")
	}
	window.RecordRequest(200, 100)
	if !window.Fits(2, 1, 2) {
		t.Error("Fits is false after all attempts have left the window, want true")
	}
}

func TestEntriesOfOneTimeBelongTogether(t *testing.T) {
	var window Window
	window.RecordRequest(5, 0)
	window.RecordAttempt(5, 0, 2)
	if !window.Fits(2, 1, 1) {
		t.Error("Fits is false, want true: a request counts for an attempt that was recorded at the same time")
	}
}
