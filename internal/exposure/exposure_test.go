package exposure

import "testing"

func TestFitsWithinShareAndAllowance(t *testing.T) {
	var window Window
	for at := range int64(10) {
		window.RecordRequest(at, 0)
	}
	if !window.Fits(2, 0.2, 1) {
		t.Error("the first attempt does not fit an allowance of one")
	}
	window.RecordAttempt(10, 0, 2)
	if !window.Fits(3, 0.2, 1) {
		t.Error("attempts at another build count")
	}
	if window.Fits(2, 0.2, 1) {
		t.Error("a second attempt fits an allowance of one, though no request arrived after the first")
	}
	if !window.Fits(2, 0.2, 2) {
		t.Error("a second attempt does not fit an allowance of two")
	}
	if window.Fits(2, 0, 100) {
		t.Error("an attempt fits a share of nothing")
	}
}

func TestWhatIsOldIsForgotten(t *testing.T) {
	var window Window
	window.RecordAttempt(0, -100, 2)
	window.RecordAttempt(10, -90, 2)
	if window.Fits(2, 1, 2) {
		t.Error("a third attempt fits an allowance of two")
	}
	window.RecordRequest(200, 100)
	if !window.Fits(2, 1, 2) {
		t.Error("attempts that have left the window still count")
	}
}

func TestEntriesOfOneTimeBelongTogether(t *testing.T) {
	var window Window
	window.RecordRequest(5, 0)
	window.RecordAttempt(5, 0, 2)
	if !window.Fits(2, 1, 1) {
		t.Error("a request does not count for an attempt that was recorded at the same time")
	}
}
