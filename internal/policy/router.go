package policy

import "math/rand"

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond
)

// router is the Router of one agent: its components, and the loop that empties their queues.
type router struct {
	*sharedState
	endpoints  *endpointSet
	dispatcher *dispatcher
	analyzer   *releaseAnalyzer
	poller     *endpointPoller
	components []component
	timerAt    Micros // time of the timer that was requested last
}

// sharedState is what all components share: the time, the source of randomness and the commands to carry out.
type sharedState struct {
	now              Micros
	startedAt        Micros // time of the first event; -1 before it
	random           *rand.Rand
	commands         []Command
	pendingEndpoints []*endpointRecord // endpoints with messages to process
}

func (r *sharedState) emit(command Command) { r.commands = append(r.commands, command) }

// randomBelow returns a random duration below the limit.
func (r *sharedState) randomBelow(limit Micros) Micros { return r.random.Int63n(limit) }

// New returns the router of one agent.
func New(config Config) Router {
	shared := &sharedState{random: rand.New(rand.NewSource(config.Instance.Seed)), startedAt: -1}
	endpoints := newEndpointSet(shared, config)
	analyzer := newReleaseAnalyzer(shared, endpoints, config)
	dispatcher := newDispatcher(shared, endpoints, analyzer, config)
	poller := &endpointPoller{sharedState: shared, isEnabled: config.Capabilities.PollsEndpoints}
	return &router{
		sharedState: shared,
		endpoints:   endpoints,
		analyzer:    analyzer,
		dispatcher:  dispatcher,
		poller:      poller,
		components:  []component{endpoints, analyzer, dispatcher, poller},
	}
}

// Handle passes an event to the components, processes messages until the queues are empty, and makes sure that a timer for the
// next tick is requested.
func (r *router) Handle(now Micros, event Event) []Command {
	r.now, r.commands = now, nil
	isTick := r.isTickDue(event)
	for _, c := range r.components {
		c.enqueue(event) // a component ignores events that do not concern it
		if isTick {
			c.enqueue(tick{})
		}
	}
	for r.processNext() {
	}
	nextTick := now + r.dispatcher.tickInterval()
	if isTick || nextTick < r.timerAt {
		r.timerAt = nextTick
		r.emit(SetTimer{At: nextTick})
	}
	return r.commands
}

// isTickDue reports whether the event triggers a tick. The first event does, and so does each timer that does not fire early.
func (r *router) isTickDue(event Event) bool {
	if r.startedAt < 0 {
		r.startedAt = r.now
		return true
	}
	_, isTimer := event.(TimerFired)
	return isTimer && r.now >= r.timerAt
}

// processNext processes one message and reports whether there was one. Endpoints come first, so that no decision reads an
// endpoint's record while messages to it are waiting.
func (r *router) processNext() bool {
	for len(r.pendingEndpoints) > 0 {
		e := r.pendingEndpoints[0]
		if msg := e.dequeue(); msg != nil {
			e.receive(msg)
			return true
		}
		e.isQueued = false
		r.pendingEndpoints = r.pendingEndpoints[1:]
	}
	r.pendingEndpoints = nil
	for _, c := range r.components {
		if msg := c.dequeue(); msg != nil {
			c.receive(msg)
			return true
		}
	}
	return false
}
