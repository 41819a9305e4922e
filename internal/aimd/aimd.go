// Package aimd adjusts a concurrency limit by additive increase and multiplicative decrease.
//
// A Limit belongs to its caller and is not safe for concurrent use. Times are in whole microseconds.
package aimd

// Limit is a concurrency limit with additive increase and multiplicative decrease.
type Limit struct {
	Value       float64
	decreasedAt int64
}

// Increase raises the limit after a good answer by 1/Value, but at most to twice Value. So n good answers raise a limit of n by
// about one.
func (l *Limit) Increase() { l.Value += min(l.Value, 1/l.Value) }

// Decrease multiplies the limit by factor after a bad answer, but does not lower the limit below minimum. It does nothing until
// interval has passed since the last decrease, so that one burst of late answers counts once.
func (l *Limit) Decrease(now int64, minimum, factor float64, interval int64) {
	if now >= l.decreasedAt+interval {
		l.Value, l.decreasedAt = max(minimum, l.Value*factor), now
	}
}
