package policy

// Config is what a Router is created with: the settings of the deployment and of this agent.
type Config struct {
	Instance      Instance
	Classes       []RequestClass // by RequestArrived.Class
	RolloutPlan   RolloutPlan
	VotingRules   VotingRules
	ExposureLimit ExposureLimit
	SlowStart     SlowStart
	RetryLimits   RetryLimits
	Capabilities  Capabilities
	CostWeights   CostWeights
}

// Idempotency tells how often a request of a class may run.
type Idempotency int

// The kinds of request classes.
const (
	Idempotent    Idempotency = iota // may run again
	Keyed                            // carries an idempotency key by which a repeat is dropped
	NonIdempotent                    // must never run twice
)

// DedupScope names the endpoints that drop one another's repeats.
type DedupScope int

// The scopes of deduplication.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// VotingRule is the way in which votes move a rollout.
type VotingRule int

// The voting rules.
const (
	AnyVote     VotingRule = iota // one vote advances a stage
	VoteShare                     // a share of the agents must vote for it
	TimedStages                   // stages advance by themselves; votes hold or roll back
)

// Instance is what an agent is configured with about itself.
type Instance struct {
	Index, Agents, Zone int
	Seed                int64
	KeyAffinity         bool // endpoints serve the keys that they served lately faster
	HasWeights          bool // the list has the capacities of endpoints
	LoadReport          LoadReportFormat
}

// RequestClass is one kind of requests.
type RequestClass struct {
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      Micros // how long the endpoints of its scope remember a keyed request
	LatencyObjective Micros
	Timeout          Micros
	PriorityWeight   float64
	LateWeightShare  float64 // part of the priority weight that a late answer earns
}

// RolloutPlan is how releases are rolled out.
type RolloutPlan struct {
	Caps            []float64 // by stage
	Shares          []float64
	GuardedStages   int  // first stages that only idempotent requests may use
	KeysNeverGoBack bool // an answered key goes to no earlier build
	ReplacesInPlace bool // the earlier endpoints leave as their successors start
}

// VotingRules are how votes are cast and counted.
type VotingRules struct {
	Rule            VotingRule
	VoteLifetime    Micros // a vote lapses after this
	CallTimeout     Micros // longest wait for the answer to a vote
	CallsPerSecond  float64
	VotesToAdvance  int    // votes that advance a stage
	VotesToRollback int    // votes that roll a build back
	MetricsInterval Micros // how often the rollout controller reports what it counted over all agents; 0: never
}

// ExposureLimit bounds the attempts at a build that is in evaluation.
type ExposureLimit struct {
	Window    Micros
	Allowance float64
	PerClass  bool
}

// SlowStart is what a starting endpoint may be sent.
type SlowStart struct {
	InitialCapacity  float64 // share of its capacity that it starts with, at the least
	Duration         Micros  // warm after this time at the latest
	OverloadMultiple float64
	OverloadAfter    Micros
}

// RetryLimits are the bounds on attempts and waits.
type RetryLimits struct {
	DrainGrace    Micros
	AnswerGrace   Micros
	MaxAttempts   int
	MaxRetryAfter Micros // longest wait that clients follow; 0 where they get none
}

// Capabilities are what the deployment permits an agent to do.
type Capabilities struct {
	HealthChecks, Cancellation, Gossip, PollsEndpoints bool
}

// LoadReportFormat tells the place of a figure in a load report, from 1 on; 0 where it is not reported.
type LoadReportFormat struct {
	Utilization int // how busy its cores are
	Rate        int // the requests that it serves each second
	InFlight    int // the requests that it has in flight
}

// CostWeights are the costs of actions, as parts of the result.
type CostWeights struct {
	CrossZone, Waste, HealthCheck, Gossip float64
}
