// Package faulttest runs fault scenarios: several processes of the program among fake servers, with a relay on each link between them
// and faults on links and processes. Expectations are held against the records of fake servers and relays, never against what
// agents report about themselves.
//
// ReadScenario and ParseScenario read a scenario, Run runs it and returns its Verdict. A run owns all that it starts; Run may be called
// from several goroutines at a time, each run with processes and servers of its own.
package faulttest

import "time"

const (
	// MaxAgents of a scenario; more agents belong into simulated time.
	MaxAgents = 64
	// maxEndpoints bounds the numbers of endpoints.
	maxEndpoints = 250
	// maxBuild bounds the numbers of builds.
	maxBuild = 65535
)

// Scenario is a parsed fault scenario.
type Scenario struct {
	File          string
	Agents        int
	AbsentAtStart []int    // agents that are not started at the beginning, and that the others' files don't name
	OperatorLines []string // further lines of each agent's operator file
	Endpoints     EndpointSetup
	Transport     string // how agents reach each other: datagrams, tcp, none
	Election      ElectionSetup
	Seed          int64
	Timeout       time.Duration // the longest that a run may take
	Steps         []Step
	Expectations  []Expectation
}

// EndpointSetup are the endpoints that a scenario starts with.
type EndpointSetup struct {
	Count       int
	Slots       int // requests that each serves at a time
	Build       int
	ServiceTime time.Duration // mean of a request
}

// ElectionSetup is how agents elect the one that votes for all.
type ElectionSetup struct {
	IsOn         bool // else each agent votes for itself
	HasStateDirs bool
	Lease        time.Duration
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

// Expectation is one line that the records are held against.
type Expectation struct {
	Line int
	Text string
	comparison
	From, To       *TimeRef      // nil: the start, the end
	Window         time.Duration // it holds in every part of this length; 0: in the whole range
	ExclusiveClaim string        // no two agents hold this at one time; empty: the comparison is held against the records
}
