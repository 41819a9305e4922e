package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"switchfork/internal/policy"
)

const (
	maxInteger      = 1e6  // an upper bound for every count, well above any real one
	maxMilliseconds = 1e12 // about 31 years
	maxFigure       = 1e9  // an upper bound for every other number, such as a weight, a share or a rate
	microsPerMillis = 1000
)

// keyValues are flat key=value pairs. The accessors record the first fault that they meet and let the caller go on, so
// that it can read a whole section and ask Err once at the end; what they return after a fault has no meaning.
type keyValues struct {
	prefix string // stands before each key in messages
	values map[string]string
	err    error // the first fault
}

// Err returns the first fault that an accessor has met, an *Error, or nil if there was none.
func (v *keyValues) Err() error { return v.err }

// recordError keeps the first fault; later ones are often its consequences.
func (v *keyValues) recordError(key, format string, args ...any) {
	if v.err == nil {
		v.err = &Error{Key: v.prefix + key, Reason: fmt.Sprintf(format, args...)}
	}
}

func (v *keyValues) isSet(key string) bool {
	_, ok := v.values[key]
	return ok
}

func (v *keyValues) text(key string) string {
	value, ok := v.values[key]
	if !ok {
		v.recordError(key, "is missing")
	}
	return value
}

// textList is empty for an absent key.
func (v *keyValues) textList(key string) []string {
	value := v.values[key]
	if value == "" {
		return nil
	}
	return strings.Split(value, listSeparator)
}

func (v *keyValues) float(key string) float64 {
	value := v.text(key)
	if v.err != nil {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	isNumber := err == nil && !math.IsNaN(number) && !math.IsInf(number, 0)
	if !isNumber {
		v.recordError(key, "is %q, not a number", value)
	}
	return number
}

// figure reads a number without a unit, from 0 on.
func (v *keyValues) figure(key string) float64 {
	number := v.float(key)
	if number < 0 || number > maxFigure {
		v.recordError(key, "is %v, expected a number from 0 to %v", number, maxFigure)
		return 0
	}
	return number
}

func (v *keyValues) figureOrDefault(key string, fallback float64) float64 {
	if !v.isSet(key) {
		return fallback
	}
	return v.figure(key)
}

func (v *keyValues) integerOrDefault(key string, fallback int) int {
	if !v.isSet(key) {
		return fallback
	}
	return v.integer(key)
}

// figureList reads the numbers of a list as figure does.
func (v *keyValues) figureList(key string) []float64 {
	var numbers []float64
	for _, field := range strings.Split(v.text(key), listSeparator) {
		number, err := strconv.ParseFloat(field, 64)
		isFigure := err == nil && number >= 0 && number <= maxFigure // false for NaN too
		if !isFigure {
			v.recordError(key, "holds %q, expected numbers from 0 to %v", field, maxFigure)
		}
		numbers = append(numbers, number)
	}
	return numbers
}

// integer reads a whole number from 0 on.
func (v *keyValues) integer(key string) int {
	number := v.float(key)
	isCount := number == math.Trunc(number) && number >= 0 && number <= maxInteger
	if !isCount {
		v.recordError(key, "is %v, not a count", number)
		return 0
	}
	return int(number)
}

// micros reads a time in milliseconds, which may have decimals.
func (v *keyValues) micros(key string) policy.Micros {
	millis := v.float(key)
	if millis < 0 || millis > maxMilliseconds {
		v.recordError(key, "is %v, not a span of time", millis)
		return 0
	}
	return policy.Micros(math.Round(millis * microsPerMillis))
}

func (v *keyValues) duration(key string) time.Duration {
	return time.Duration(v.micros(key)) * time.Microsecond
}

func (v *keyValues) positiveDuration(key string) time.Duration {
	duration := v.duration(key)
	if duration == 0 {
		v.recordError(key, "is 0, no time at all")
	}
	return duration
}

// boolean is false for an absent key.
func (v *keyValues) boolean(key string) bool {
	return v.isSet(key) && enum(v, key, map[string]bool{"true": true, "false": false})
}

// enum reads one of a few known words.
func enum[T any](v *keyValues, key string, known map[string]T) T {
	text := v.text(key)
	value, isKnown := known[text]
	if !isKnown {
		v.recordError(key, "is %q, a word not known here", text)
	}
	return value
}
