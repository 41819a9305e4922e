package faulttest

import (
	"context"
	"time"

	"switchfork/internal/faulttest/netfault"
)

// stepAction is the action of a step. The run methods are in actions.go.
type stepAction interface {
	run(ctx context.Context, r *runner, s Step) error
}

type (
	// openLoadStep sends requests at a rate, whether or not earlier requests have been answered.
	openLoadStep struct {
		number             int     // index among the scenario's open-load steps, from 0; part of the random seed
		rate               float64 // requests per second at each agent
		agents             AgentSet
		keyedShare         float64
		nonIdempotentShare float64

		splitShare        float64 // share of requests that are sent in pieces
		disconnectShare   float64 // share of clients that disconnect before the answer
		shortTimeoutShare float64 // share of requests with a short timeout
	}
	// closedLoadStep starts clients that each keep one connection and send one request at a time.
	closedLoadStep struct {
		clients int           // number of clients at each agent
		pause   time.Duration // mean time between an answer and the client's next request
		agents  AgentSet
	}
	// faultStep injects a fault into links, or heals them.
	faultStep struct {
		apply         func(*netfault.Fault)
		isHeal        bool
		from, to      Party
		bidirectional bool
		transport     string // empty: both transports
		streamsOnly   bool   // the fault applies to streams only
		datagramsOnly bool   // the fault applies to datagrams only
	}
	// processStep sends a signal to processes, or starts them.
	processStep struct {
		action, program string
		agents          AgentSet
		clearsState     bool
	}
	// reloadStep changes files of agents and makes the agents reload them.
	reloadStep struct {
		agents AgentSet
		target string
		tokens []string
		peer   int
	}
	// healthStep changes the health that discovery lists for endpoints.
	healthStep struct {
		health    string
		endpoints EndpointSet
	}
	// addEndpointsStep starts endpoints, which begin with a slow start.
	addEndpointsStep struct {
		count int
		build int
	}
	// serviceTimeStep multiplies the time that endpoints take to serve a request.
	serviceTimeStep struct {
		factor    float64
		endpoints EndpointSet
	}
	// errorShareStep makes endpoints fail a share of their requests.
	errorShareStep struct {
		share     float64
		endpoints EndpointSet
	}
	// rolloutStep publishes a rollout state.
	rolloutStep struct {
		build, stage int
		phase        string
		cap          float64
	}
	// rolloutSilenceStep makes the rollout controller stop or resume answering votes.
	rolloutSilenceStep struct{ silent bool }
	// nameLeaderStep waits for a leader and binds a name to it.
	nameLeaderStep struct {
		name     string
		excluded *AgentSet
		timeout  time.Duration
	}
	// membershipStep changes the members of the leader election with the operator's command.
	membershipStep struct {
		action   string
		agents   AgentSet
		contacts AgentSet // agents that are asked one after the other, until one accepts the change
		timeout  time.Duration
	}
	// checkStep calls a check of the test that runs the scenario.
	checkStep struct{ name string }
	// waitStep waits until a comparison holds.
	waitStep struct {
		comparison
		timeout time.Duration
	}
	// markStep binds a name to the current time.
	markStep struct{ name string }
)
