// Package faulttest runs fault scenarios: several processes of the program among fake servers, with a relay on each link between them
// and faults on links and processes. Expectations are held against the records of fake servers and relays, never against what
// agents report about themselves.
//
// ReadScenario and ParseScenario read a scenario, Run runs it and returns its Verdict. A run owns all that it starts; Run may be called
// from several goroutines at a time, each run with processes and servers of its own.
package faulttest

import (
	"time"

	"switchfork/internal/faulttest/netfault"
)

// Transports by which agents reach each other.
const (
	transportTCP       = "tcp" // streams of the leader election
	transportDatagrams = "datagrams"
	transportNone      = "no"
)

// Servers that agents call.
const (
	serverDiscovery = "discovery"
	serverRollout   = "launcher"
)

// Health of an endpoint in the endpoint list.
const (
	healthActive  = "active"
	healthLeaving = "leaving"
	healthLeft    = "left"
)

// Phases of a rollout.
const (
	phaseTesting   = "testing"
	phaseRecalling = "recalling"
	phaseLive      = "live"
	phaseRecalled  = "recalled"
)

var rolloutPhases = []string{phaseTesting, phaseRecalling, phaseLive, phaseRecalled}

// Recommendations that an agent may vote for.
const (
	recommendOn   = "on"
	recommendBack = "back"
	recommendHold = "hold"
	recommendNone = "none"
)

var recommendations = []string{recommendOn, recommendBack, recommendHold, recommendNone}

// Bounds of a scenario; more agents belong into simulated time.
const (
	MaxAgents    = 64
	maxEndpoints = 250
	maxBuild     = 65535
)

// Scenario is a parsed fault scenario.
type Scenario struct {
	File          string
	Agents        int
	Endpoints     int
	Slots         int // requests that an endpoint serves at a time
	Build         int
	ServiceTime   time.Duration
	Transport     string // how agents reach each other: datagrams, tcp, no
	HasElection   bool
	HasStateDirs  bool
	Lease         time.Duration
	AbsentAtStart []int    // agents that are not started at the beginning, and that the others' files don't name
	OperatorLines []string // further lines of each agent's operator file
	Seed          int64
	Timeout       time.Duration // the longest that a run may take
	Steps         []Step
	Expectations  []Expectation
}

// Restarts counts the planned restarts of agents.
func (s *Scenario) Restarts() (count int) {
	for _, step := range s.Steps {
		if start, isProcess := step.Action.(processStep); isProcess && start.action == processStart {
			count += len(start.agents.Numbers)
			if len(start.agents.Numbers) == 0 {
				count += s.Agents
			}
		}
	}
	return count
}

// Step is one line that does something.
type Step struct {
	Line          int
	Text          string
	AfterPrevious bool // At counts from the end of the step before, else from the start
	At            time.Duration
	Action        stepAction
}

// AgentSet are agents by their numbers, or by a name that the scenario binds; all without either.
type AgentSet struct {
	Numbers  []int
	Name     string
	Inverted bool // all but the named one
}

// EndpointSet are endpoints by their numbers, or those of a build; all without either.
type EndpointSet struct {
	Numbers []int
	Build   int
}

// Party is an end of a link.
type Party struct {
	Agents    *AgentSet
	Endpoints *EndpointSet
	Discovery bool
	Rollout   bool
}

// TimeRef is a moment of a run: an offset from the start, or from a mark.
type TimeRef struct {
	Mark   string
	Offset time.Duration
}

// Measure is a figure that is derived from the records.
type Measure struct {
	Name, Arg string
	Agents    *AgentSet
	Endpoints *EndpointSet
	Build     int
	Class     string // empty: all
}

// Names of measures.
const (
	measureSucceeded    = "settled"
	measureInTime       = "in-time"
	measureRejected     = "declined"
	measureFailed       = "failed"
	measureOffered      = "offered"
	measureMedian       = "median"
	measure99Percentile = "p99"
	measureVotes        = "votes"
	measureArrivals     = "arrivals"
	measureRepeats      = "repeats"
	measureBusiest      = "busiest"
	measureCalls        = "calls"
	measureDatagrams    = "datagrams"
	measureAlive        = "alive"
	measureLeaders      = "leads"
	measureMembers      = "members"
	measureLog          = "log"
	measureHealthy      = "healthy"
)

// measureSpec tells what a measure can be narrowed by.
type measureSpec struct {
	hasArg     bool
	byAgent    bool
	byEndpoint bool
	byBuild    bool
	byClass    bool
	asksAgents bool // what agents report about themselves: for waits only, never for an expectation
}

var measureSpecs = map[string]measureSpec{
	measureSucceeded:    {byAgent: true, byClass: true},
	measureMedian:       {byAgent: true, byClass: true},
	measure99Percentile: {byAgent: true, byClass: true},
	measureInTime:       {byAgent: true, byClass: true},
	measureRejected:     {byAgent: true, byClass: true},
	measureFailed:       {byAgent: true, byClass: true},
	measureOffered:      {byAgent: true, byClass: true},
	measureVotes:        {hasArg: true, byAgent: true, byBuild: true},
	measureArrivals:     {byAgent: true, byEndpoint: true},
	measureBusiest:      {byEndpoint: true},
	measureDatagrams:    {byAgent: true},
	measureCalls:        {hasArg: true, byAgent: true},
	measureAlive:        {byAgent: true},
	measureRepeats:      {byEndpoint: true},
	measureLeaders:      {byAgent: true, asksAgents: true},
	measureMembers:      {byAgent: true, asksAgents: true},
	measureLog:          {hasArg: true, byAgent: true, asksAgents: true},
	measureHealthy:      {byAgent: true, asksAgents: true},
}

// comparison compares a measure to a value.
type comparison struct {
	measure  Measure
	operator string
	value    float64
}

// Expectation is one line that the records are held against.
type Expectation struct {
	Line int
	Text string
	comparison
	From, To       *TimeRef      // nil: the start, the end
	Window         time.Duration // it holds in every part of this length; 0: in the whole range
	NeverHeldByTwo string        // no two agents hold this at one time
}

// stepAction is what a step does. Each action is run by its own method, see actions.go.
type stepAction interface {
	run(r *runner, s Step) error
}

type (
	loadStep struct {
		number     int     // of the scenario's load steps, from 0 on; it is part of the seed
		rate       float64 // requests a second, at each agent
		agents     AgentSet
		keyedShare float64
		onceShare  float64

		piecesShare, leaveShare, shortShare float64 // of requests sent in pieces, of clients that leave, of requests with little time
	}
	crowdStep struct {
		clients int // at each agent
		pause   time.Duration
		agents  AgentSet
	}
	faultStep struct {
		apply         func(*netfault.Fault)
		isHeal        bool
		from, to      Party
		bidirectional bool
		transport     string // empty: both
		streamsOnly   bool   // the fault means something on streams only
		datagramsOnly bool   // the fault means something on datagrams only
	}
	processStep struct {
		action, program string
		agents          AgentSet
		clearsState     bool
	}
	reloadStep struct {
		agents AgentSet
		target string
		tokens []string
		peer   int
	}
	healthStep struct {
		health    string
		endpoints EndpointSet
	}
	addEndpointsStep struct{ count, build int }
	serviceTimeStep  struct {
		factor    float64
		endpoints EndpointSet
	}
	errorShareStep struct {
		share     float64
		endpoints EndpointSet
	}
	rolloutStep struct {
		build, stage int
		phase        string
		cap          float64
	}
	rolloutSilenceStep struct{ silent bool }
	nameLeaderStep     struct {
		name     string
		excluded *AgentSet
		timeout  time.Duration
	}
	membershipStep struct {
		action           string
		agents, contacts AgentSet
		timeout          time.Duration
	}
	checkStep struct{ name string }
	waitStep  struct {
		comparison
		timeout time.Duration
	}
	markStep struct{ name string }
)
