package agenttest

import (
	"slices"
	"sync"

	"switchfork/internal/policy"
)

// Router is a scripted routing policy: it records events and returns the commands that the test wants. It may be used by any goroutine.
type Router struct {
	mutex   sync.Mutex
	events  []policy.Event
	times   []policy.Micros
	respond func(policy.Event) []policy.Command
}

// Handle records an event and returns the commands of the test's script for it.
func (r *Router) Handle(now policy.Micros, event policy.Event) []policy.Command {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events = append(r.events, event)
	r.times = append(r.times, now)
	if r.respond == nil {
		return nil
	}
	return r.respond(event)
}

// Respond sets the function that returns the commands for each event from now on. The function is called with the router locked.
func (r *Router) Respond(respond func(policy.Event) []policy.Command) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.respond = respond
}

// All returns the events so far and the policy's time of each.
func (r *Router) All() ([]policy.Event, []policy.Micros) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.events), slices.Clone(r.times)
}

// Events returns the events of one type so far.
func Events[T policy.Event](r *Router) (out []T) {
	events, _ := r.All()
	for _, event := range events {
		if e, ok := event.(T); ok {
			out = append(out, e)
		}
	}
	return out
}
