// Package policy decides for one agent: which build and endpoint a request goes to, when it is retried, rejected or failed, and
// how the agent votes on a release.
//
// New returns a Router. Its Handle takes an event with the time in whole microseconds and returns the commands to carry out
// before the next event. A Router does no I/O, reads no clock and starts no goroutine: the same events give the same commands.
// It owns all its state and is not safe for concurrent use; one goroutine calls it, in the order in which things happen.
//
// The decisions and their tuned values are in routing.go, retry.go, outlier.go, slowstart.go, exposure.go, analysis.go and
// voting.go. The other files have the mechanism: state and messages, the event loop, the endpoint records, measurements and the
// encoding of gossip.
package policy

// Micros is a time or a duration in whole microseconds.
type Micros = int64

// Router is one agent's decisions. Handle answers each event with the commands that follow from it.
type Router interface {
	Handle(now Micros, ev Event) []Command
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

// Event is one of the event types below, from EndpointUpdate to ErrorReport.
type Event any

type (
	// EndpointUpdate is a change of the endpoint list. Full replaces all that was known; Failed says that the call failed.
	EndpointUpdate struct {
		Full, Failed bool
		Endpoints    []Endpoint
	}
	// Endpoint is one row of the list.
	Endpoint struct {
		ID      uint32
		Build   int
		Zone    int
		State   EndpointState
		Cell    int
		Started Micros // 0: long ago
		Weight  float64
	}
	// RequestArrived is a request that this agent must answer.
	RequestArrived struct {
		ID        uint64
		Class     int
		Tenant    int
		Key       uint64 // 0: none
		Deadline  Micros
		CostHint  Micros // expected work; 0: not known
		IsRetry   bool   // the client says that it has tried before
		ArrivedAt Micros // when it came, where it waited before it got here; 0: now
	}
	// ResponseStarted reports that a streamed response has started.
	ResponseStarted struct{ RequestID uint64 }
	// AttemptResult is the outcome of one attempt.
	AttemptResult struct {
		RequestID   uint64
		EndpointID  uint32
		Outcome     Outcome
		Elapsed     Micros
		RequestDone bool // the request has its final answer
		Load        []float32
	}
	// RequestCancelled reports that the client has disconnected.
	RequestCancelled struct{ RequestID uint64 }
	// TimerFired is the timer that a SetTimer asked for.
	TimerFired struct{ Token uint64 }
	// HealthCheckResult answers a CheckHealth.
	HealthCheckResult struct {
		EndpointID uint32
		Outcome    Outcome
		Elapsed    Micros
		Load       []float32
	}
	// GossipReceived is a peer's message.
	GossipReceived struct {
		From    int
		Payload []byte
	}
	// RolloutUpdate is the rollout controller's state, sent by itself or as the answer to a vote.
	RolloutUpdate struct {
		Build, Stage int
		Phase        Phase
		IsVoteReply  bool
		Outcome      Outcome
		Cap          float64
		Age          Micros
	}
	// MetricsReport is the rollout controller's count for one build and class.
	MetricsReport struct {
		Build, Class, Requests, Failures int
		MeanLatency, Age                 Micros
	}
	// ErrorReport is a client's report of a wrong answer.
	ErrorReport struct {
		Class      int
		Age        Micros
		EndpointID uint32
	}
)

// EndpointState is an endpoint's state in the list.
type EndpointState int

// The states of an endpoint.
const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Phase is the phase of a release.
type Phase int

// The phases of a release.
const (
	Evaluating Phase = iota
	RollingBack
	Released
	RolledBack
)

// Outcome is the outcome of an attempt, a health check or a vote.
type Outcome int

// The outcomes. Comments say what they mean for an attempt.
const (
	OK             Outcome = iota
	ServerError            // may have run
	Rejected               // full or draining: never ran
	TimedOut               // may have run, may still run
	ConnectFailed          // never ran
	ConnectionLost         // may have run
	Cancelled              // may have run
	NotAttempted           // never sent
	Malformed              // has run, but the answer cannot be read
)

// Verdict is what an agent votes.
type Verdict int

// The verdicts.
const (
	NoVote Verdict = iota
	Advance
	Hold
	Rollback
)

// Command is one of the command types below, from SendAttempt to LogMessage. Only this package can add another.
type Command interface{ isCommand() }

type (
	// SendAttempt sends a request to an endpoint. A Timeout of 0 waits until its deadline.
	SendAttempt struct {
		RequestID   uint64
		EndpointID  uint32
		Timeout     Micros
		WriteBefore Micros // its last byte must not leave later; 0: no such time
	}
	// CancelAttempt stops the wait for an attempt.
	CancelAttempt struct {
		RequestID uint64
		Attempt   int
	}
	// Reject is a final answer that lets the client try again.
	Reject struct {
		RequestID  uint64
		RetryAfter Micros
	}
	// Fail is a final answer after which the request may have run.
	Fail struct{ RequestID uint64 }
	// SetTimer asks for a TimerFired.
	SetTimer struct {
		At    Micros
		Token uint64
	}
	// CheckHealth checks an endpoint.
	CheckHealth struct{ EndpointID uint32 }
	// SendGossip sends a message to one peer.
	SendGossip struct {
		To      int
		Payload []byte
	}
	// WatchEndpoints asks for changes of the endpoint list from now on.
	WatchEndpoints struct{}
	// Vote casts this agent's vote.
	Vote struct {
		Build, Stage int
		Verdict      Verdict
	}
	// LogMessage writes a line in the log.
	LogMessage struct{ Text string }
)

func (SendAttempt) isCommand()    {}
func (CancelAttempt) isCommand()  {}
func (Reject) isCommand()         {}
func (Fail) isCommand()           {}
func (SetTimer) isCommand()       {}
func (CheckHealth) isCommand()    {}
func (SendGossip) isCommand()     {}
func (WatchEndpoints) isCommand() {}
func (Vote) isCommand()           {}
func (LogMessage) isCommand()     {}
