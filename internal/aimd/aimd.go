// Package aimd keeps a concurrency limit by additive increase and multiplicative decrease.
//
// A Limit belongs to its caller and is not safe for concurrent use. Times are in whole microseconds.
package aimd

// Decrease says how a limit falls.
type Decrease struct {
	Factor   float64 // what is left of the limit, between 0 and 1
	Interval int64   // shortest time between two decreases, so that one burst of late answers counts once
}

// Limit is a concurrency limit.
type Limit struct {
	Value       float64
	decreasedAt int64
}

// Increase raises the limit after a good answer: by one for each limit's worth of answers, and at most to the double.
func (l *Limit) Increase() { l.Value += min(l.Value, 1/l.Value) }

// Decrease lowers the limit after a bad answer, not below the minimum and not before the interval has passed.
func (l *Limit) Decrease(now int64, minimum float64, by Decrease) {
	if now >= l.decreasedAt+by.Interval {
		l.Value, l.decreasedAt = max(minimum, l.Value*by.Factor), now
	}
}
