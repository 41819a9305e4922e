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
	maxInteger      = 1e6  // upper bound for every integer, well above any realistic value
	maxMilliseconds = 1e12 // upper bound for every duration; about 31 years
	maxNumber       = 1e9  // upper bound for all other numbers, such as weights, shares and rates
	microsPerMillis = 1000
)

// keyValues are flat key=value pairs. An accessor that finds an error does not return the error but records it, unless
// an earlier one was recorded. The caller can thus read a whole section and call Err once at the end. Values that an
// accessor returns after an error are meaningless.
type keyValues struct {
	prefix string // added in front of each key in messages
	values map[string]string
	err    error // the first error
}

// Err returns the first error that an accessor has recorded, which is an *Error, or nil if there is none.
func (v *keyValues) Err() error { return v.err }

// recordError records an error unless one was recorded before: later errors are often consequences of the first.
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

// textList splits a value at its commas. It returns nil for an absent key.
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

// nonNegative reads a number without a unit, from 0 to maxNumber.
func (v *keyValues) nonNegative(key string) float64 {
	number := v.float(key)
	if number < 0 || number > maxNumber {
		v.recordError(key, "is %v, expected a number from 0 to %v", number, maxNumber)
		return 0
	}
	return number
}

func (v *keyValues) nonNegativeOrDefault(key string, fallback float64) float64 {
	if !v.isSet(key) {
		return fallback
	}
	return v.nonNegative(key)
}

func (v *keyValues) integerOrDefault(key string, fallback int) int {
	if !v.isSet(key) {
		return fallback
	}
	return v.integer(key)
}

// nonNegativeList reads a list of numbers, each in the range that nonNegative accepts.
func (v *keyValues) nonNegativeList(key string) []float64 {
	var numbers []float64
	for _, field := range strings.Split(v.text(key), listSeparator) {
		number, err := strconv.ParseFloat(field, 64)
		isInRange := err == nil && number >= 0 && number <= maxNumber // false for NaN too
		if !isInRange {
			v.recordError(key, "holds %q, expected numbers from 0 to %v", field, maxNumber)
		}
		numbers = append(numbers, number)
	}
	return numbers
}

// integer reads a whole number from 0 to maxInteger.
func (v *keyValues) integer(key string) int {
	number := v.float(key)
	isInRange := number == math.Trunc(number) && number >= 0 && number <= maxInteger
	if !isInRange {
		v.recordError(key, "is %v, expected a whole number from 0 to 1e6", number)
		return 0
	}
	return int(number)
}

// micros reads a duration in milliseconds, which may have decimals.
func (v *keyValues) micros(key string) policy.Micros {
	millis := v.float(key)
	if millis < 0 || millis > maxMilliseconds {
		v.recordError(key, "is %v, expected a number of milliseconds from 0 to 1e12", millis)
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
		v.recordError(key, "is 0, expected more than 0 milliseconds")
	}
	return duration
}

// boolean reads true or false. It returns false for an absent key.
func (v *keyValues) boolean(key string) bool {
	return v.isSet(key) && enum(v, key, map[string]bool{"true": true, "false": false})
}

// enum reads a word that has to be one of the keys of known, and returns the value of known for that key.
func enum[T any](v *keyValues, key string, known map[string]T) T {
	text := v.text(key)
	value, isKnown := known[text]
	if !isKnown {
		v.recordError(key, "is %q, a word not known here", text)
	}
	return value
}
