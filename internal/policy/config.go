package policy

// Config holds the settings of the deployment and of this agent, with which a Router is created.
type Config struct {
	Instance      Instance
	Classes       []RequestClass // indexed by RequestArrived.Class
	RolloutPlan   RolloutPlan
	VotingRules   VotingRules
	ExposureLimit ExposureLimit
	SlowStart     SlowStart
	RetryLimits   RetryLimits
	Capabilities  Capabilities
	CostWeights   CostWeights
}

// Idempotency says whether a request of a class may run more than once.
type Idempotency int

// The kinds of request classes.
const (
	Idempotent    Idempotency = iota // may run again
	Keyed                            // carries an idempotency key, by which endpoints drop repeats
	NonIdempotent                    // must never run twice
)

// DedupScope says which endpoints drop repeats of requests that one of them has run.
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
	VoteShare                     // a stage advances when a share of the agents has voted for it
	TimedStages                   // stages advance on a timer; votes hold or roll back
)

// Instance holds the settings of a single agent.
type Instance struct {
	Index       int // index of this agent, counted from 0
	Agents      int // number of agents in the deployment
	Zone        int
	Seed        int64 // seed of the random source
	KeyAffinity bool  // endpoints are faster with keys that they served recently
	HasWeights  bool  // the endpoint list gives the capacities of endpoints
	LoadReport  LoadReportFormat
}

// RequestClass holds the settings of one kind of request.
type RequestClass struct {
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      Micros // how long the endpoints in DedupScope remember a keyed request
	LatencyObjective Micros
	Timeout          Micros
	PriorityWeight   float64
	LateWeightShare  float64 // part of the priority weight that a late answer earns; no decision depends on it yet
}

// RolloutPlan describes how releases are rolled out.
type RolloutPlan struct {
	Caps            []float64 // exposure caps by stage
	Shares          []float64 // shares of the endpoints by stage; no decision depends on them yet
	GuardedStages   int       // number of stages, from the first on, that only idempotent requests may use
	KeysNeverGoBack bool      // a key that a build has answered goes to no earlier build
	ReplacesInPlace bool      // endpoints of earlier builds leave as those of the new build start
}

// VotingRules describe how votes are cast and counted.
type VotingRules struct {
	Rule            VotingRule
	VoteLifetime    Micros // how long a vote counts
	CallTimeout     Micros // longest wait for the answer to a vote
	CallsPerSecond  float64
	VotesToAdvance  int    // votes that advance a stage
	VotesToRollback int    // votes that roll a build back
	MetricsInterval Micros // how often the rollout controller reports what it counted over all agents; 0: never
}

// ExposureLimit bounds the attempts at a build that is in evaluation.
type ExposureLimit struct {
	Window    Micros  // time over which attempts and requests are counted
	Allowance float64 // number of attempts allowed above the cap's share of the requests
	PerClass  bool    // attempts and requests are counted for each class separately
}

// SlowStart describes how the capacity of a starting endpoint grows and which overload brings it down.
type SlowStart struct {
	InitialCapacity  float64 // least share of its full capacity that an endpoint has at its start
	Duration         Micros  // time after which an endpoint is warm at the latest
	OverloadMultiple float64 // load that brings an endpoint down, as a multiple of the endpoint's capacity at that time
	OverloadAfter    Micros  // how long this load has to last to bring an endpoint down
}

// RetryLimits are the bounds on attempts and waits.
type RetryLimits struct {
	DrainGrace    Micros // how long a draining endpoint may get requests; no decision depends on it, because agents stop at once
	AnswerGrace   Micros // how long after its deadline an answer still counts; no decision depends on it
	MaxAttempts   int    // attempts per request
	MaxRetryAfter Micros // longest Retry-After that clients honor; 0: clients honor none
}

// Capabilities are what the deployment permits an agent to do.
type Capabilities struct {
	HealthChecks   bool
	Cancellation   bool // attempts whose client has gone may be cancelled; no decision depends on it yet
	Gossip         bool // agents may send each other messages
	PollsEndpoints bool // the agent has to request the endpoint list from discovery
}

// LoadReportFormat gives the position of each figure in a load report, counted from 1, or 0 for a figure that is not reported.
type LoadReportFormat struct {
	Utilization int // how busy the endpoint's cores are
	Rate        int // requests that the endpoint serves per second
	InFlight    int // requests that the endpoint has in flight
}

// CostWeights are the costs of actions, as parts of the result.
type CostWeights struct {
	CrossZone   float64 // cost of an attempt in another zone
	Waste       float64 // cost of an attempt whose answer reaches no client; no decision depends on it yet
	HealthCheck float64 // cost of a health check; no decision depends on it yet
	Gossip      float64 // cost of a message; no decision depends on it yet
}
