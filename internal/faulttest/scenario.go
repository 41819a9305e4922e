// Package faulttest runs fault scenarios. A scenario starts several agent processes among fake servers, with a relay on each link between
// them, and injects faults into links and processes. Expectations are checked against the records of the clients, fake servers and relays,
// never against what agents report about themselves.
//
// ReadScenario and ParseScenario read a scenario, Run runs it and returns its Verdict. Run may be called from several goroutines at the
// same time: each run starts its own processes and servers, and stops everything that it started.
package faulttest

import "time"

const (
	// MaxAgents is the maximum number of agents in a scenario. Tests with more agents should run in simulated time.
	MaxAgents = 64
	// maxEndpoints limits how many endpoints one line starts, and the endpoint numbers that a line may name.
	maxEndpoints = 250
	// maxBuild is the highest build number.
	maxBuild = 65535
)

// Scenario is a parsed fault scenario.
type Scenario struct {
	File          string
	Agents        int
	AbsentAtStart []int    // agents that are not started at the beginning, and that the other agents' operator files don't name
	OperatorLines []string // additional lines of each agent's operator file
	Endpoints     EndpointSetup
	Transport     string // how agents reach each other: datagrams, tcp, none
	Election      ElectionSetup
	Seed          int64
	Timeout       time.Duration // maximum duration of a run; the runner adds startupTimeout to it
	Steps         []Step
	Expectations  []Expectation
}

// EndpointSetup describes the endpoints that exist at the start of a scenario.
type EndpointSetup struct {
	Count       int
	Slots       int // requests that an endpoint serves concurrently
	Build       int
	ServiceTime time.Duration // mean time to serve a request
}

// ElectionSetup describes how agents elect the agent that votes for all of them.
type ElectionSetup struct {
	IsOn         bool // false: each agent votes for itself
	HasStateDirs bool
	Lease        time.Duration
}

// Restarts returns the number of planned restarts: how many agents the scenario's start steps start in total. A step that
// selects agents by a name counts as a start of all agents.
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

// Step is one line of a scenario that performs an action.
type Step struct {
	Line          int
	Text          string
	AfterPrevious bool // true: At is relative to the end of the previous step; false: to the start of the run
	At            time.Duration
	Action        stepAction
}

// AgentSet selects agents by their numbers, or by a name that the scenario binds. Without either it selects all agents.
type AgentSet struct {
	Numbers  []int
	Name     string
	Inverted bool // all agents except the named one
}

// EndpointSet selects endpoints by their numbers, or all endpoints of a build. Without either it selects all endpoints.
type EndpointSet struct {
	Numbers []int
	Build   int
}

// Party selects the agents, endpoints or server at one end of links.
type Party struct {
	Agents    *AgentSet
	Endpoints *EndpointSet
	Discovery bool
	Rollout   bool
}

// TimeRef is a point in time of a run: an offset from the start, or from a mark.
type TimeRef struct {
	Mark   string
	Offset time.Duration
}

// Expectation is one line of a scenario that the records are checked against.
type Expectation struct {
	Line int
	Text string
	comparison
	From, To       *TimeRef      // nil: the start and the end of the run
	Window         time.Duration // the comparison has to hold in every part of this length; 0: over the whole range
	ExclusiveClaim string        // what no two agents may hold at the same time; empty: the comparison is checked instead
}
