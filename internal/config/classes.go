package config

import (
	"time"

	"switchfork/internal/policy"
)

// RequestClass is a request class, with the name by which requests select it.
type RequestClass struct {
	Name        string
	Idempotency policy.Idempotency
	MayRepeat   bool // any endpoint may get a request again that may have run: it runs again without harm, or is dropped
	Timeout     time.Duration
}

// ClassPriority is what admission control has to know of a request class, in addition to the fields of RequestClass.
type ClassPriority struct {
	LatencyObjective time.Duration
	PriorityWeight   float64
}

// classSettings reads the settings of the request class with the given index.
type classSettings struct {
	*keyValues
	index int
}

func (s *Settings) class(index int) classSettings { return classSettings{s.keyValues, index} }

// RequestClasses returns the classes in the order of the router's class indices. Their names are unique.
func (s *Settings) RequestClasses() []RequestClass {
	classes := make([]RequestClass, s.integer(keyClassCount))
	indexByName := map[string]int{}
	for i := range classes {
		settings := s.class(i)
		class := settings.requestClass()
		other, isDuplicate := indexByName[class.Name]
		switch {
		case class.Name == "":
			s.recordError(settings.key(classKeyName), "is empty, expected the name by which requests select this class")
		case isDuplicate:
			s.recordError(settings.key(classKeyName), "is %q, which is the name of class %d too; expected a unique name, because requests select their class by it", class.Name, other)
		case class.Timeout <= 0:
			s.recordError(settings.key(classKeyTimeout), "is 0, expected more than 0: no answer could be in time")
		}
		indexByName[class.Name] = i
		classes[i] = class
	}
	return classes
}

// ClassPriorities returns the priorities in the order of RequestClasses.
func (s *Settings) ClassPriorities() []ClassPriority {
	priorities := make([]ClassPriority, s.integer(keyClassCount))
	for i := range priorities {
		priorities[i] = s.class(i).priority()
	}
	return priorities
}

// policyClasses returns the request classes as the router needs them, in the order of RequestClasses.
func (s *Settings) policyClasses() []policy.RequestClass {
	classes := make([]policy.RequestClass, s.integer(keyClassCount))
	if len(classes) == 0 {
		s.recordError(keyClasses, "has no request class")
	}
	for i := range classes {
		classes[i] = s.class(i).policyClass()
	}
	return classes
}

// key returns the full key of a setting of this class.
func (c classSettings) key(name string) string { return classKey(c.index, name) }

func (c classSettings) requestClass() RequestClass {
	return RequestClass{
		Name:        c.text(c.key(classKeyName)),
		Idempotency: c.idempotency(),
		MayRepeat:   c.mayRepeat(),
		Timeout:     c.duration(c.key(classKeyTimeout)),
	}
}

func (c classSettings) mayRepeat() bool {
	switch c.idempotency() {
	case policy.Idempotent:
		return true
	case policy.Keyed:
		return c.dedupScope() == policy.DedupAll
	case policy.NonIdempotent:
	}
	return false
}

func (c classSettings) dedupScope() policy.DedupScope {
	return enum(c.keyValues, c.key(classKeyDedupScope), map[string]policy.DedupScope{
		"all":  policy.DedupAll,
		"zone": policy.DedupZone,
		"cell": policy.DedupCell,
	})
}

func (c classSettings) priority() ClassPriority {
	return ClassPriority{
		LatencyObjective: c.duration(c.key(classKeyLatencyObjective)),
		PriorityWeight:   c.nonNegative(c.key(classKeyPriorityWeight)),
	}
}

func (c classSettings) idempotency() policy.Idempotency {
	return enum(c.keyValues, c.key(classKeyIdempotency), map[string]policy.Idempotency{
		"read_like":       policy.Idempotent,
		"idempotency_key": policy.Keyed,
		"non_idempotent":  policy.NonIdempotent,
	})
}

// policyClass reads the class as the router needs it. Only classes of keyed requests have a deduplication scope and window.
func (c classSettings) policyClass() policy.RequestClass {
	class := policy.RequestClass{Idempotency: c.idempotency()}
	if class.Idempotency == policy.Keyed {
		class.DedupScope = c.dedupScope()
		class.DedupWindow = c.micros(c.key(classKeyDedupWindow))
	}
	class.LatencyObjective = c.micros(c.key(classKeyLatencyObjective))
	class.Timeout = c.micros(c.key(classKeyTimeout))
	if class.LatencyObjective <= 0 {
		c.recordError(c.key(classKeyLatencyObjective), "is 0, expected more than 0: no answer could be in time")
	}
	class.PriorityWeight = c.nonNegative(c.key(classKeyPriorityWeight))
	class.LateWeightShare = c.nonNegativeOrDefault(c.key(classKeyLateWeightShare), 0)
	return class
}
