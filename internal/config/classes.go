package config

import (
	"time"

	"switchfork/internal/policy"
)

// RequestClass is a class of requests as clients name it.
type RequestClass struct {
	Name        string
	Idempotency policy.Idempotency
	Timeout     time.Duration
}

// ClassPriority is what admission control has to know of a request class.
type ClassPriority struct {
	LatencyObjective time.Duration
	PriorityWeight   float64
}

// RequestClasses returns the classes in the order in which the router numbers them. Names are unique.
func (s *Settings) RequestClasses() []RequestClass {
	classes := make([]RequestClass, s.integer(keyClassCount))
	indexByName := map[string]int{}
	for i := range classes {
		class := RequestClass{
			Name:        s.text(classKey(i, classKeyName)),
			Idempotency: s.idempotency(i),
			Timeout:     s.duration(classKey(i, classKeyTimeout)),
		}
		other, isDuplicate := indexByName[class.Name]
		switch {
		case class.Name == "":
			s.recordError(classKey(i, classKeyName), "is empty; requests name their class by it")
		case isDuplicate:
			s.recordError(classKey(i, classKeyName), "is %q, like that of class %d; requests name their class by it", class.Name, other)
		case class.Timeout <= 0:
			s.recordError(classKey(i, classKeyTimeout), "is 0; no answer could come in time")
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
		priorities[i] = ClassPriority{
			LatencyObjective: s.duration(classKey(i, classKeyLatencyObjective)),
			PriorityWeight:   s.figure(classKey(i, classKeyPriorityWeight)),
		}
	}
	return priorities
}

func (s *Settings) idempotency(class int) policy.Idempotency {
	return enum(s.keyValues, classKey(class, classKeyIdempotency), map[string]policy.Idempotency{
		"read_like":       policy.Idempotent,
		"idempotency_key": policy.Keyed,
		"non_idempotent":  policy.NonIdempotent,
	})
}

// policyClasses returns what the router has to know of the request classes, in the order of RequestClasses.
func (s *Settings) policyClasses() []policy.RequestClass {
	classes := make([]policy.RequestClass, s.integer(keyClassCount))
	if len(classes) == 0 {
		s.recordError(keyClasses, "has no request class")
	}
	for i := range classes {
		classes[i] = s.policyClass(i)
	}
	return classes
}

func (s *Settings) policyClass(index int) policy.RequestClass {
	class := policy.RequestClass{Idempotency: s.idempotency(index)}
	if class.Idempotency == policy.Keyed {
		class.DedupScope = enum(s.keyValues, classKey(index, classKeyDedupScope), map[string]policy.DedupScope{
			"all":  policy.DedupAll,
			"zone": policy.DedupZone,
			"cell": policy.DedupCell,
		})
		class.DedupWindow = s.micros(classKey(index, classKeyDedupWindow))
	}
	class.LatencyObjective = s.micros(classKey(index, classKeyLatencyObjective))
	class.Timeout = s.micros(classKey(index, classKeyTimeout))
	if class.LatencyObjective <= 0 {
		s.recordError(classKey(index, classKeyLatencyObjective), "is 0; no answer could be in time")
	}
	class.PriorityWeight = s.figure(classKey(index, classKeyPriorityWeight))
	class.LateWeightShare = s.figureOrDefault(classKey(index, classKeyLateWeightShare), 0)
	return class
}
