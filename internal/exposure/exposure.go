// Package exposure counts over a sliding window how many attempts went to a build, against a share of the requests that
// arrived.
//
// A Window belongs to its caller and is not safe for concurrent use. Times are in whole microseconds.
package exposure

// arrival marks an entry that is a request, and no attempt at a build.
const arrival = -1

type entry struct {
	recordedAt int64
	build      int
}

// check is one question to the window. The answer holds until the next entry.
type check struct {
	build     int
	share     float64
	allowance float64
}

// Window holds the entries of the latest time.
type Window struct {
	entries   []entry
	lastCheck check
	isChecked bool // lastCheck holds: nothing was recorded since
	lastFits  bool
}

// RecordRequest enters a request that has arrived, and forgets what was recorded before the given time.
func (w *Window) RecordRequest(now, forgetBefore int64) { w.record(now, forgetBefore, arrival) }

// RecordAttempt enters an attempt at a build, and forgets what was recorded before the given time.
func (w *Window) RecordAttempt(now, forgetBefore int64, build int) {
	w.record(now, forgetBefore, build)
}

func (w *Window) record(now, forgetBefore int64, build int) {
	for len(w.entries) > 0 && w.entries[0].recordedAt < forgetBefore {
		w.entries = w.entries[1:]
	}
	w.entries = append(w.entries, entry{now, build})
	w.isChecked = false
}

// Fits reports whether one more attempt at the build keeps its attempts, over every window that ends now, within the share
// of the requests plus the allowance.
//
// The answer is kept until something is recorded: under overload every held request asks again at every tick, and at a
// thousand requests a second the window has thousands of entries.
func (w *Window) Fits(build int, share, allowance float64) bool {
	asked := check{build, share, allowance}
	if !w.isChecked || w.lastCheck != asked {
		w.lastCheck, w.isChecked, w.lastFits = asked, true, w.fits(asked)
	}
	return w.lastFits
}

func (w *Window) fits(asked check) bool {
	balance := 1.0
	for i := len(w.entries) - 1; i >= 0; i-- {
		isBoundary := i < len(w.entries)-1 && w.entries[i].recordedAt != w.entries[i+1].recordedAt
		if isBoundary && balance > asked.allowance {
			break // no window separates what was recorded at one time
		}
		switch w.entries[i].build {
		case asked.build:
			balance++
		case arrival:
			balance -= asked.share
		}
	}
	return asked.share > 0 && balance <= asked.allowance
}
