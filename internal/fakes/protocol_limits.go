package fakes

import "time"

// Limits of the protocol, the same for every agent that is started with an AgentConfig.
const (
	// VoteLifetime is how long a vote counts.
	VoteLifetime = 4 * time.Second
	// CallTimeout is the timeout of calls to the rollout controller's interface.
	CallTimeout = 800 * time.Millisecond
	// DrainGrace is how long an agent may still send requests to an endpoint after it was notified of the endpoint's drain.
	DrainGrace = time.Second
	// CapWindow is the period over which the requests to a canary build are counted against its traffic cap.
	CapWindow = 4 * time.Second
	// CapAllowance is how many requests above the traffic cap are allowed in a window.
	CapAllowance = 3
	// DedupWindow is how long endpoints recognize an idempotency key.
	DedupWindow = 8 * time.Second
	// AnswerGrace is how long a request may still be answered after its deadline.
	AnswerGrace = 20 * time.Millisecond
	// InitialCapacity is the capacity of a new endpoint, as a fraction of the endpoint's full capacity.
	InitialCapacity = 0.3
	// SlowStartDuration is the time until a new endpoint has its full capacity.
	SlowStartDuration = 3 * time.Second
	// OverloadMultiple is the load, as a multiple of the endpoint's capacity, that counts as an overload. An overload that lasts for
	// OverloadAfter makes the endpoint fail.
	OverloadMultiple = 2.0
	// OverloadAfter is how long an endpoint tolerates an overload.
	OverloadAfter = 1500 * time.Millisecond
)
