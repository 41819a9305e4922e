// Package ramp describes capacity that grows linearly after a start. The caller sets the parameters; times are in whole
// microseconds.
package ramp

// Linear is a share that grows from Initial at age 0 to 1 at age Duration.
type Linear struct {
	Initial  float64
	Duration int64
}

// At returns the share at age: Initial up to age 0, and 1 from Duration on.
func (l Linear) At(age int64) float64 {
	return min(1, l.Initial+(1-l.Initial)*float64(max(0, age))/float64(l.Duration))
}

// Integral returns the integral of the share from 0 to age, which must be at most Duration.
func (l Linear) Integral(age float64) float64 {
	return age * (l.Initial + (1-l.Initial)*age/2/float64(l.Duration))
}
