package config

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"switchfork/internal/policy"
)

const (
	maxInteger       = 1e6  // an upper bound for every count, well above any real one
	maxMilliseconds  = 1e12 // about 31 years
	maxFigure        = 1e9  // an upper bound for every other number, such as a weight, a share or a rate
	microsPerMillis  = 1000
	listSeparator    = ","
	listCountKey     = "count"
	keyPathSeparator = "."
)

// Settings are flat key=value pairs. The accessors record the first fault that they meet and let the caller go on, so
// that it can read a whole section and ask Err once at the end; what they return after a fault has no meaning.
type Settings struct {
	prefix string // stands before each key in messages
	values map[string]string
	err    error // the first fault
}

// ParsePairs reads settings from lines of key=value; other lines are ignored.
func ParsePairs(text string) *Settings {
	s := &Settings{values: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			s.values[key] = value
		}
	}
	return s
}

// parseJSON flattens a JSON object into the pairs that ParsePairs would read: names joined by dots, ".count" and ".0"
// for lists of objects, commas between plain values.
func parseJSON(name string, raw []byte) (*Settings, error) {
	var root any
	if err := json.Unmarshal(raw, &root); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if _, ok := root.(map[string]any); !ok {
		return nil, fmt.Errorf("%s is not an object", name)
	}
	s := &Settings{prefix: name + keyPathSeparator, values: map[string]string{}}
	s.flatten("", root)
	return s, nil
}

func (s *Settings) flatten(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			s.flatten(joinKey(path, key), inner)
		}
	case []any:
		s.flattenList(path, value)
	case nil: // null is the same as an absent key
	default:
		s.values[path] = formatScalar(value)
	}
}

func (s *Settings) flattenList(path string, list []any) {
	var scalars []string
	for i, inner := range list {
		switch inner.(type) {
		case map[string]any, []any:
			s.flatten(joinKey(path, strconv.Itoa(i)), inner)
		default:
			scalars = append(scalars, formatScalar(inner))
		}
	}
	if len(scalars) < len(list) || len(list) == 0 {
		s.values[joinKey(path, listCountKey)] = strconv.Itoa(len(list))
		return
	}
	s.values[path] = strings.Join(scalars, listSeparator)
}

func joinKey(path, key string) string {
	return strings.TrimPrefix(path+keyPathSeparator+key, keyPathSeparator)
}

func formatScalar(value any) string {
	if number, ok := value.(float64); ok {
		return strconv.FormatFloat(number, 'g', -1, 64)
	}
	return fmt.Sprint(value)
}

// Err returns the first fault that an accessor has met, an *Error, or nil if there was none.
func (s *Settings) Err() error { return s.err }

// recordError keeps the first fault; later ones are often its consequences.
func (s *Settings) recordError(key, format string, args ...any) {
	if s.err == nil {
		s.err = &Error{Key: s.prefix + key, Reason: fmt.Sprintf(format, args...)}
	}
}

func (s *Settings) isSet(key string) bool {
	_, ok := s.values[key]
	return ok
}

func (s *Settings) text(key string) string {
	value, ok := s.values[key]
	if !ok {
		s.recordError(key, "is missing")
	}
	return value
}

// textList is empty for an absent key.
func (s *Settings) textList(key string) []string {
	value := s.values[key]
	if value == "" {
		return nil
	}
	return strings.Split(value, listSeparator)
}

func (s *Settings) float(key string) float64 {
	value := s.text(key)
	if s.err != nil {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		s.recordError(key, "is %q, not a number", value)
	}
	return number
}

// figure reads a number without a unit, from 0 on.
func (s *Settings) figure(key string) float64 {
	number := s.float(key)
	if number < 0 || number > maxFigure {
		s.recordError(key, "is %v, expected a number from 0 to %v", number, maxFigure)
		return 0
	}
	return number
}

func (s *Settings) figureOrDefault(key string, fallback float64) float64 {
	if !s.isSet(key) {
		return fallback
	}
	return s.figure(key)
}

func (s *Settings) integerOrDefault(key string, fallback int) int {
	if !s.isSet(key) {
		return fallback
	}
	return s.integer(key)
}

// figureList reads the numbers of a list as figure does.
func (s *Settings) figureList(key string) []float64 {
	var numbers []float64
	for _, field := range strings.Split(s.text(key), listSeparator) {
		number, err := strconv.ParseFloat(field, 64)
		if err != nil || math.IsNaN(number) || number < 0 || number > maxFigure {
			s.recordError(key, "holds %q, expected numbers from 0 to %v", field, maxFigure)
		}
		numbers = append(numbers, number)
	}
	return numbers
}

// integer reads a whole number from 0 on.
func (s *Settings) integer(key string) int {
	number := s.float(key)
	if number != math.Trunc(number) || number < 0 || number > maxInteger {
		s.recordError(key, "is %v, not a count", number)
		return 0
	}
	return int(number)
}

// micros reads a time in milliseconds, which may have decimals.
func (s *Settings) micros(key string) policy.Micros {
	millis := s.float(key)
	if millis < 0 || millis > maxMilliseconds {
		s.recordError(key, "is %v, not a span of time", millis)
		return 0
	}
	return policy.Micros(math.Round(millis * microsPerMillis))
}

func (s *Settings) duration(key string) time.Duration {
	return time.Duration(s.micros(key)) * time.Microsecond
}

func (s *Settings) positiveDuration(key string) time.Duration {
	duration := s.duration(key)
	if duration == 0 {
		s.recordError(key, "is 0, no time at all")
	}
	return duration
}

// boolean is false for an absent key.
func (s *Settings) boolean(key string) bool {
	return s.isSet(key) && enum(s, key, map[string]bool{"true": true, "false": false})
}

// enum reads one of a few known words.
func enum[T any](s *Settings, key string, known map[string]T) T {
	text := s.text(key)
	value, ok := known[text]
	if !ok {
		s.recordError(key, "is %q, a word not known here", text)
	}
	return value
}
