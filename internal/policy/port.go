// The interface of the decision module: what an agent is told at its start,
// the events that go in and the orders that come out. It holds types only;
// every decision is in brain.go.

package policy

// Micros is a clock time or a span in whole microseconds.
type Micros = int64

// Router is one agent's decision module. It is driven by one caller, in the
// order things happen, and answers each event with the orders that follow.
type Router interface {
	Handle(now Micros, ev Event) []Command
}

// Idempotency tells how often a product may run.
type Idempotency int

const (
	Idempotent    Idempotency = iota // may run again
	Keyed                            // carries a mark by which a repeat is dropped
	NonIdempotent                    // must never run twice
)

// DedupScope names the appliances that drop one another's repeats.
type DedupScope int

const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// VotingRule is the way votes move a release.
type VotingRule int

const (
	AnyVote     VotingRule = iota // one vote moves a stage on
	VoteShare                     // a share of the agents must stand for it
	TimedStages                   // stages move by themselves; votes hold or send back
)

// Instance is the agent's own place among its peers.
type Instance struct {
	Index, Agents, Zone int
	Seed                int64
	KeyAffinity         bool // appliances work faster for keys that they met lately
	HasWeights          bool // the list tells the sizes of appliances
	LoadReport          LoadReportFormat
}

// RequestClass is one kind of txn.
type RequestClass struct {
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      Micros // how long its group remembers a referenced txn
	LatencyObjective Micros
	Timeout          Micros
	PriorityWeight   float64
	LateWeightShare  float64 // part of the revenue that a late answer earns
}

// RolloutPlan is how releases are brought in.
type RolloutPlan struct {
	Caps            []float64 // by stage
	Shares          []float64
	GuardedStages   int  // first stages closed to txns with an effect
	KeysNeverGoBack bool // an answered key goes to no earlier build
	ReplacesInPlace bool // the earlier appliances leave as their successors run
}

// VotingRules is how votes are cast.
type VotingRules struct {
	Rule            VotingRule
	VoteLifetime    Micros // a vote lapses after this
	CallTimeout     Micros // longest wait for the answer to a vote
	CallsPerSecond  float64
	VotesToAdvance  int    // votes that move a stage on
	VotesToRollBack int    // votes that send a build back
	MetricsInterval Micros // the launcher tells every so often what it counted over all agents; 0: never
}

// ExposureLimit is the count that a build on trial is held to.
type ExposureLimit struct {
	Window    Micros
	Allowance float64
	PerClass  bool
}

// SlowStart is what a starting appliance may be sent.
type SlowStart struct {
	InitialCapacity  float64 // share of its capacity that it starts with, at least
	Duration         Micros  // warm after this time at the latest
	OverloadMultiple float64
	OverloadAfter    Micros
}

// RetryLimits is what the drain and answer rules allow.
type RetryLimits struct {
	DrainGrace    Micros
	AnswerGrace   Micros
	MaxAttempts   int
	MaxRetryAfter Micros // longest wait that clients follow; 0 where they are not told
}

// Capabilities is what the deployment permits an agent to do.
type Capabilities struct {
	HealthChecks, Cancellation, Gossip, EndpointPolling bool
}

// LoadReportFormat tells where in a load report a figure stands, from 1 on; 0 where it is not reported.
type LoadReportFormat struct {
	Utilization int // how busy its cores are
	Rate        int // the txns that it serves each second
	InFlight    int // the txns that it holds
}

// CostWeights are prices, as parts of the result.
type CostWeights struct {
	CrossZone, Waste, HealthCheck, Gossip float64
}

// Event is one of the event types below.
type Event any

type (
	// EndpointUpdate is news of the fleet. Full replaces all that was known.
	EndpointUpdate struct {
		Full, Failed bool
		Endpoints    []Endpoint
	}
	// Endpoint is one appliance of the list.
	Endpoint struct {
		ID      uint32
		Build   int
		Zone    int
		State   EndpointState
		Cell    int
		Started Micros // 0: long ago
		Weight  float64
	}
	// RequestArrived is a txn that this agent must answer.
	RequestArrived struct {
		ID        uint64
		Class     int
		Tenant    int
		Key       uint64 // 0: none
		Deadline  Micros
		CostHint  Micros // expected work, 0: not told
		IsRetry   bool   // the client says that it has tried before
		ArrivedAt Micros // when it came, where it waited before it was handed in; 0: now
	}
	// ResponseStarted tells that a streamed answer has started.
	ResponseStarted struct{ RequestID uint64 }
	// AttemptResult is the outcome of one submission.
	AttemptResult struct {
		RequestID   uint64
		EndpointID  uint32
		Outcome     Outcome
		Elapsed     Micros
		RequestDone bool // the txn has its final answer
		Load        []float32
	}
	// RequestCancelled tells that the client has gone.
	RequestCancelled struct{ RequestID uint64 }
	// TimerFired is the timer that a Wake asked for.
	TimerFired struct{ Token uint64 }
	// HealthCheckResult answers a Probe.
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
	// RolloutUpdate is the launcher's news, by itself or as the answer to a vote.
	RolloutUpdate struct {
		Build, Stage int
		Phase        Phase
		IsVoteReply  bool
		Outcome      Outcome
		Cap          float64
		Age          Micros
	}
	// MetricsReport is the launcher's count for one build and product.
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

// EndpointState of an appliance in the list.
type EndpointState int

const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Phase of a release.
type Phase int

const (
	Evaluating Phase = iota
	RollingBack
	Released
	RolledBack
)

// Outcome of a submission, a probe or a vote.
type Outcome int

const (
	OK             Outcome = iota
	ServerError            // may have run
	Rejected               // full or draining: never ran
	TimedOut               // may have run, may still run
	ConnectFailed          // never ran
	ConnectionLost         // may have run
	Cancelled              // may have run
	NotAttempted           // never sent
	Malformed              // has run, but what came can't be read
)

// Verdict of a vote.
type Verdict int

const (
	NoVote Verdict = iota
	Advance
	Hold
	RollBack
)

// Command is one of the order types below.
type Command any

type (
	// SendAttempt sends a txn to an appliance; Patience 0 waits until its expiry.
	SendAttempt struct {
		RequestID   uint64
		EndpointID  uint32
		Timeout     Micros
		WriteBefore Micros // its last byte must not leave later; 0: no such time
	}
	// CancelAttempt stops the wait for a submission.
	CancelAttempt struct {
		RequestID uint64
		Attempt   int
	}
	// Reject is a final no that lets the client try again.
	Reject struct {
		RequestID  uint64
		RetryAfter Micros
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ RequestID uint64 }
	// SetTimer asks for a Bell.
	SetTimer struct {
		At    Micros
		Token uint64
	}
	// CheckHealth checks an appliance.
	CheckHealth struct{ EndpointID uint32 }
	// SendGossip sends a message to one peer.
	SendGossip struct {
		To      int
		Payload []byte
	}
	// WatchEndpoints asks the list for changes from now on.
	WatchEndpoints struct{}
	// Vote casts this agent's vote.
	Vote struct {
		Build, Stage int
		Verdict      Verdict
	}
	// LogMessage writes a line in the log.
	LogMessage struct{ Text string }
)
