package faulttest

import (
	"context"
	"time"

	"switchfork/internal/faulttest/netfault"
)

// stepAction is what a step does. Each action is run by its own method, see actions.go.
type stepAction interface {
	run(ctx context.Context, r *runner, s Step) error
}

type (
	// openLoadStep starts requests at a rate, whether or not those before were answered.
	openLoadStep struct {
		number             int     // of the scenario's load steps, from 0 on; it is part of the seed
		rate               float64 // requests a second, at each agent
		agents             AgentSet
		keyedShare         float64
		nonIdempotentShare float64

		splitShare        float64 // of requests that are sent in pieces
		disconnectShare   float64 // of clients that disconnect before the answer
		shortTimeoutShare float64 // of requests with little time
	}
	// closedLoadStep starts clients that keep a connection each and send one request at a time.
	closedLoadStep struct {
		clients int           // at each agent
		pause   time.Duration // mean time between an answer and the client's next request
		agents  AgentSet
	}
	// faultStep puts a fault on links, or heals them.
	faultStep struct {
		apply         func(*netfault.Fault)
		isHeal        bool
		from, to      Party
		bidirectional bool
		transport     string // empty: both
		streamsOnly   bool   // the fault means something on streams only
		datagramsOnly bool   // the fault means something on datagrams only
	}
	// processStep sends a signal to processes, or starts them.
	processStep struct {
		action, program string
		agents          AgentSet
		clearsState     bool
	}
	// reloadStep changes files of agents and has them read again.
	reloadStep struct {
		agents AgentSet
		target string
		tokens []string
		peer   int
	}
	// healthStep changes what discovery lists endpoints as.
	healthStep struct {
		health    string
		endpoints EndpointSet
	}
	// addEndpointsStep starts endpoints, which warm up.
	addEndpointsStep struct {
		count int
		build int
	}
	// serviceTimeStep changes how long endpoints take for a request.
	serviceTimeStep struct {
		factor    float64
		endpoints EndpointSet
	}
	// errorShareStep makes endpoints fail a part of the requests.
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
	// rolloutSilenceStep lets the rollout controller answer votes, or not.
	rolloutSilenceStep struct{ silent bool }
	// nameLeaderStep waits for a leader and binds a name to it.
	nameLeaderStep struct {
		name     string
		excluded *AgentSet
		timeout  time.Duration
	}
	// membershipStep changes the election's members by the operator's command.
	membershipStep struct {
		action   string
		agents   AgentSet
		contacts AgentSet // are asked, one after the other, until one accepts
		timeout  time.Duration
	}
	// checkStep calls a check of the test that runs the scenario.
	checkStep struct{ name string }
	// waitStep waits until a comparison holds.
	waitStep struct {
		comparison
		timeout time.Duration
	}
	// markStep binds a name to the present moment.
	markStep struct{ name string }
)
