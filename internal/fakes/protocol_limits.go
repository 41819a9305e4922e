package fakes

import "time"

// Limits of the protocol, the same for every agent that is started with an AgentConfig.
const (
	// VoteLifetime is how long a vote counts.
	VoteLifetime = 4 * time.Second
	// CallTimeout is the timeout of calls to the rollout controller's interface.
	CallTimeout = 800 * time.Millisecond
	// DrainGrace is how long after an agent was notified of a drain it may still send requests to the endpoint.
	DrainGrace = time.Second
	// CapWindow is the period over which the requests to a canary build are counted against its traffic cap.
	CapWindow = 4 * time.Second
	// CapAllowance is the number of requests above the traffic cap that is allowed in a window.
	CapAllowance = 3
	// DedupWindow is how long endpoints recognize an idempotency key.
	DedupWindow = 8 * time.Second
	// AnswerGrace is how long after its deadline a request may still be answered.
	AnswerGrace = 20 * time.Millisecond
	// InitialCapacity is the fraction of its full capacity that a new endpoint has.
	InitialCapacity = 0.3
	// SlowStartDuration is the time until a new endpoint has its full capacity.
	SlowStartDuration = 3 * time.Second
	// OverloadMultiple is the load, as a multiple of its capacity, that makes an endpoint fail if it lasts for OverloadAfter.
	OverloadMultiple = 2.0
	// OverloadAfter is how long an endpoint tolerates an overload.
	OverloadAfter = 1500 * time.Millisecond
)
