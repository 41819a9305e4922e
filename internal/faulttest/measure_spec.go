package faulttest

// Measure is a quantity that a scenario checks, with the agents, endpoints, build or class that it is restricted to. Most measures are
// computed from the records; those with asksAgents query the agents.
type Measure struct {
	Name, Arg string
	Agents    *AgentSet
	Endpoints *EndpointSet
	Build     int
	Class     string // empty: all classes
}

// Names of measures.
const (
	measureSucceeded    = "succeeded"
	measureInTime       = "within-objective"
	measureRejected     = "rejected"
	measureFailed       = "failed"
	measureOffered      = "offered"
	measureMedian       = "median"
	measure99Percentile = "p99"
	measureVotes        = "votes"
	measureArrivals     = "arrivals"
	measureDuplicates   = "duplicates"
	measureBusiest      = "busiest"
	measureCalls        = "calls"
	measureDatagrams    = "datagrams"
	measureAlive        = "alive"
	measureLeaders      = "leaders"
	measureMembers      = "members"
	measureLog          = "log"
	measureHealthy      = "healthy"
)

// measureSpec defines whether a measure has an argument, and what it can be restricted by.
type measureSpec struct {
	hasArg     bool
	byAgent    bool
	byEndpoint bool
	byBuild    bool
	byClass    bool
	asksAgents bool // the measure uses what agents report about themselves; permitted in waits only, never in an expectation
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
	measureDuplicates:   {byEndpoint: true},
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
