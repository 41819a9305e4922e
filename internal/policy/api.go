// Package policy decides for one agent: which build and endpoint a request goes to, when it is retried, rejected or failed, and
// how the agent votes on a release.
//
// New returns a Router. Its method Handle takes the time in whole microseconds and an event, and returns the commands to carry out
// before the next event. A Router does no I/O, reads no clock and starts no goroutine: the same events give the same commands.
// It owns all its state and is not safe for concurrent use; one goroutine passes it the events in the order in which they happen.
//
// docs/architecture.md says which file decides what. router.go connects the components and makes no decisions;
// gossip_codec.go encodes gossip.
package policy

// Micros is a time or a duration in whole microseconds.
type Micros = int64

// Router makes the decisions of one agent. Handle processes an event and returns the commands that follow from it.
type Router interface {
	Handle(now Micros, ev Event) []Command
}

// Event is one of the event types below, from EndpointUpdate to ErrorReport.
type Event any

type (
	// EndpointUpdate is a change of the endpoint list. Full means that Endpoints replaces the whole list, Failed that the call for
	// the list failed.
	EndpointUpdate struct {
		Full, Failed bool
		Endpoints    []Endpoint
	}
	// Endpoint is one entry of the endpoint list.
	Endpoint struct {
		ID      uint32
		Build   int
		Zone    int
		State   EndpointState
		Cell    int
		Started Micros // when the endpoint's process started; 0: long ago
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
		IsRetry   bool   // the client says that it has sent the request before
		ArrivedAt Micros // when the agent received the request, if the request has waited since; 0: now
	}
	// ResponseStarted reports that a streamed response has started. The policy ignores it.
	ResponseStarted struct{ RequestID uint64 }
	// AttemptResult is the outcome of one attempt.
	AttemptResult struct {
		RequestID   uint64
		EndpointID  uint32
		Outcome     Outcome
		Elapsed     Micros
		RequestDone bool      // the request has its final answer
		Load        []float32 // load report; LoadReportFormat gives the positions of its figures
	}
	// RequestCancelled reports that the client has disconnected.
	RequestCancelled struct{ RequestID uint64 }
	// TimerFired reports that the time of a SetTimer has come.
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
	// RolloutUpdate is the rollout controller's state, sent unprompted or as the answer to a vote.
	RolloutUpdate struct {
		Build, Stage int
		Phase        Phase
		IsVoteReply  bool
		Outcome      Outcome // outcome of the vote, if IsVoteReply
		Cap          float64 // exposure cap of Stage
		Age          Micros  // how long the rollout controller has been in this state
	}
	// MetricsReport holds the rollout controller's counts for one build and class.
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

// The outcomes. Each comment says whether the request may have run at the endpoint of an attempt with this outcome.
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
	// SendAttempt sends a request to an endpoint. A Timeout of 0 means to wait until the request's deadline.
	SendAttempt struct {
		RequestID   uint64
		EndpointID  uint32
		Timeout     Micros
		WriteBefore Micros // the request's last byte must not be sent later than this; 0: no limit
	}
	// CancelAttempt stops the wait for an attempt. The policy does not return it yet.
	CancelAttempt struct {
		RequestID uint64
		Attempt   int
	}
	// Reject is a final answer that lets the client try again.
	Reject struct {
		RequestID  uint64
		RetryAfter Micros
	}
	// Fail is a final answer to a request that may have run.
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
	// LogMessage writes a line in the log. The policy does not return it yet.
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
