// Package exposure checks over a sliding window whether the attempts at a build stay within a share of the requests that
// arrived.
//
// A Window belongs to its caller and is not safe for concurrent use. Times are in whole microseconds.
package exposure

// arrival is the build of an entry that records the arrival of a request instead of an attempt.
const arrival = -1

type entry struct {
	recordedAt int64
	build      int
}

// query holds the arguments of a call of Fits.
type query struct {
	build     int
	share     float64
	allowance float64
}

// Window holds the requests and attempts within a sliding window of time.
type Window struct {
	entries   []entry
	lastQuery query
	isCached  bool // lastFits is valid for lastQuery: no entry was recorded since
	lastFits  bool
}

// RecordRequest records the arrival of a request at now, and removes the entries older than forgetBefore.
func (w *Window) RecordRequest(now, forgetBefore int64) { w.record(now, forgetBefore, arrival) }

// RecordAttempt records an attempt that was sent to a build at now, and removes the entries older than forgetBefore.
func (w *Window) RecordAttempt(now, forgetBefore int64, build int) {
	w.record(now, forgetBefore, build)
}

func (w *Window) record(now, forgetBefore int64, build int) {
	for len(w.entries) > 0 && w.entries[0].recordedAt < forgetBefore {
		w.entries = w.entries[1:]
	}
	w.entries = append(w.entries, entry{now, build})
	w.isCached = false
}

// Fits reports whether one more attempt may be sent to build. Over every window that ends now, the attempts at build, with the
// new one, must number at most share times the requests, plus allowance. With a share of 0, Fits returns false.
//
// The result is cached until the next entry: under overload, Fits is called again for every pending request at every tick, and
// at a thousand requests per second the window has thousands of entries.
func (w *Window) Fits(build int, share, allowance float64) bool {
	q := query{build, share, allowance}
	if !w.isCached || w.lastQuery != q {
		w.lastQuery, w.isCached, w.lastFits = q, true, w.fits(q)
	}
	return w.lastFits
}

func (w *Window) fits(q query) bool {
	balance := 1.0
	for i := len(w.entries) - 1; i >= 0; i-- {
		isBoundary := i < len(w.entries)-1 && w.entries[i].recordedAt != w.entries[i+1].recordedAt
		if isBoundary && balance > q.allowance {
			break // entries with the same time belong to the same windows
		}
		switch w.entries[i].build {
		case q.build:
			balance++
		case arrival:
			balance -= q.share
		}
	}
	return q.share > 0 && balance <= q.allowance
}
