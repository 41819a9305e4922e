package policy

import (
	"math/rand"

	"switchfork/internal/exposure"
)

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond
)

// router is the Router of one agent: its components, and the loop that empties their mailboxes.
type router struct {
	*runtime
	endpoints  *endpointSet
	dispatcher *dispatcher
	analyzer   *releaseAnalyzer
	poller     *endpointPoller
	components []component
	timerAt    Micros // the timer that was asked for last
}

// component is a part of the router that takes messages one after the other.
type component interface {
	enqueue(message)
	dequeue() message
	receive(message)
}

// message is an event, or one of the types below, which components send to each other.
type message any

type (
	// tick has a component look at the time.
	tick struct{}
	// evidence against an endpoint's build. A step of 0 is no evidence.
	evidence struct {
		failureStep  float64
		latenessStep float64
		minRatio     float64 // that the sums do not go below
		reset        bool    // another stage or build: the sums start afresh
	}
	// peerVerdict is an evaluator's verdict on a build.
	peerVerdict struct {
		from, build, stage int
		verdict            Verdict
		receivedAt         Micros
	}
	// attemptSent reports an attempt by this agent or by a peer.
	attemptSent struct {
		endpoint *endpointRecord
		fromPeer bool
	}
	// requestRejected reports a request that this agent or a peer rejected or failed.
	requestRejected struct{ fromPeer bool }
	// attemptStarted reports an attempt by this agent to its endpoint.
	attemptStarted struct {
		cost             float64
		latencyObjective Micros
	}
	// attemptOutcome is an attempt's result, by this agent or by a peer, with the record of its endpoint.
	attemptOutcome struct {
		AttemptResult
		endpoint         *endpointRecord
		class            int     // -1: the request is over and forgotten
		onCanary         bool    // its build is in evaluation
		fromPeer         bool    // a peer had it
		reportedInFlight float64 // requests that the endpoint reports; below 0: it does not report them
		isClientError    bool    // an error is more likely the tenant's than the endpoint's
		latencyObjective Micros
	}
)

// mailbox is a queue of messages.
type mailbox struct {
	messages []message
	read     int
}

func (m *mailbox) enqueue(msg message) { m.messages = append(m.messages, msg) }

func (m *mailbox) dequeue() message {
	if m.read < len(m.messages) {
		msg := m.messages[m.read]
		m.read++
		return msg
	}
	m.messages, m.read = m.messages[:0], 0
	return nil
}

func (r *runtime) emit(command Command) { r.commands = append(r.commands, command) }

// randomBelow returns a random span below the limit.
func (r *runtime) randomBelow(limit Micros) Micros { return r.random.Int63n(limit) }

// New returns the router of one agent.
func New(config Config) Router {
	r := &router{runtime: &runtime{random: rand.New(rand.NewSource(config.Instance.Seed)), startedAt: -1}}
	r.endpoints = &endpointSet{
		runtime: r.runtime, byID: map[uint32]*endpointRecord{},
		healthChecks: config.Capabilities.HealthChecks, slowStart: config.SlowStart, hasWeights: config.Instance.HasWeights,
		pointsPerEndpoint: pointsPerEndpoint, ringSalt: ringSalt, warmConcurrency: 1,
		minLimitPerCore: 1 / float64(config.Instance.Agents), // one open attempt of all agents together
	}
	r.analyzer = &releaseAnalyzer{
		runtime: r.runtime, rolloutState: newRolloutState(config.RolloutPlan), endpoints: r.endpoints,
		votingRules: config.VotingRules, classes: config.Classes, agentCount: config.Instance.Agents, index: config.Instance.Index,
		reportState: reportState{baselineTotals: make([]classTotals, len(config.Classes))},
		trafficRates: trafficRates{
			onTimeShare: 1, baselineOnTimeShare: 1,
			baselineLatency: make([]float64, len(config.Classes)), baselineAnswers: make([]float64, len(config.Classes)),
		},
	}
	if config.Capabilities.Gossip {
		r.analyzer.joinPanel(config.Instance)
	}
	r.dispatcher = &dispatcher{
		runtime: r.runtime, rolloutState: newRolloutState(config.RolloutPlan), endpoints: r.endpoints, analyzer: r.analyzer,
		instance: config.Instance, classes: config.Classes, retryLimits: config.RetryLimits, slowStart: config.SlowStart,
		exposureLimit: config.ExposureLimit, crossZoneCost: config.CostWeights.CrossZone,
		requests: map[uint64]*request{}, keyBuilds: map[uint64]int{}, keys: keyUsages{recent: map[uint64]keyUsage{}},
		clients:      rejectedClients{byHash: map[uint64]rejectedClient{}, returnRate: initialReturnRate},
		tenantErrors: tenantErrorRates{map[int]float64{}},
	}
	for _, class := range config.Classes {
		r.dispatcher.exposureWindows = append(r.dispatcher.exposureWindows, &exposure.Window{})
		cost := float64(class.LatencyObjective) * initialCostShare
		r.dispatcher.meanCost = max(r.dispatcher.meanCost, cost)
	}
	r.poller = &endpointPoller{runtime: r.runtime, isEnabled: config.Capabilities.PollsEndpoints}
	r.components = []component{r.endpoints, r.analyzer, r.dispatcher, r.poller}
	return r
}

func newRolloutState(plan RolloutPlan) rolloutState {
	return rolloutState{rolledBack: map[int]bool{}, plan: plan}
}

// Handle passes an event to the components, empties the mailboxes, and sees to it that a timer is asked for.
func (r *router) Handle(now Micros, event Event) []Command {
	r.now, r.commands = now, nil
	_, isTimer := event.(TimerFired)
	isTick := isTimer && now >= r.timerAt
	if r.startedAt < 0 {
		r.startedAt, isTick = now, true
	}
	for _, c := range r.components {
		c.enqueue(event) // each takes what concerns it
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

// processNext processes one message. Endpoints come first, so that no choice reads a record with messages waiting.
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

func (p *endpointPoller) receive(msg message) {
	switch msg := msg.(type) {
	case EndpointUpdate:
		if msg.Failed {
			p.retryLater(pollRetryDelay, maxPollDoublings)
		} else {
			p.failuresInRow = 0
		}
	case tick:
		if p.isEnabled && p.pollAt >= 0 && p.now >= p.pollAt {
			p.pollAt = -1
			p.emit(WatchEndpoints{})
		}
	}
}

// retryLater sets the time of the next call: exponential backoff with jitter.
func (p *endpointPoller) retryLater(delay Micros, maxDoublings int) {
	delay <<= min(p.failuresInRow, maxDoublings)
	p.failuresInRow++
	p.pollAt = p.now + delay + p.randomBelow(delay)
}
