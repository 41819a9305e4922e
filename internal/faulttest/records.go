package faulttest

import (
	"slices"
	"time"

	"switchfork/internal/faulttest/netfault"
)

// Records are what the fake servers, the relays and the deployment itself wrote down during a run. The JSON keys are part of the format of
// records.json.
type Records struct {
	Agents              int
	End                 netfault.Micros
	Requests            []Request         `json:"Txns"`
	ConnsWithExtraBytes int               `json:"Surplus"` // client connections with bytes behind a complete answer
	EndpointStarts      []netfault.Micros `json:"Born"`    // by endpoint; -1: long before the run
	Slots               int               // requests that an endpoint serves at a time
	ServiceTime         netfault.Micros   `json:"Work"` // of one request at an endpoint that is warm
	Calls               map[string][]Call // by server, see callsKey
	Datagrams           []int64           // delivered, by sender
	Arrivals            []Arrival
	Votes               []Vote
	Stages              []Stage             // by version
	EndpointLists       [][]EndpointRow     `json:"Lists"` // by version
	Lifetimes           [][]ProcessLifetime `json:"Lives"` // by agent
	HasElection         bool                `json:"Decider"`
	CloseRaces          []CloseRace         `json:"Crossings"`

	// ReceivedLists and ReceivedStages tell when each agent had each version, in the order of time.
	ReceivedLists  [][]Receipt `json:"HadList"`
	ReceivedStages [][]Receipt `json:"HadNews"`
	// SentAt is when each arrival was sent by its agent; -1 where the relay can't tell.
	SentAt []netfault.Micros
}

// ProcessLifetime is one process of an agent, from its start to its end.
type ProcessLifetime struct {
	Start      netfault.Micros      `json:"From"`
	End        netfault.Micros      `json:"To"`         // -1 while it lives
	TermSentAt netfault.Micros      `json:"Left"`       // when SIGTERM was sent; -1: never
	Pauses     [][2]netfault.Micros `json:"Standstill"` // begin and end of each SIGSTOP; end -1 while it lasts
	WasKilled  bool                 `json:"Killed"`
	ExitError  string               // how a process that was not killed ended; empty: with 0, or it lives
}

// Receipt is when an agent was handed a version of the endpoint list or of the rollout state.
type Receipt struct {
	At      netfault.Micros
	Version int `json:"Serial"`
}

// callsKey is the key of a server's calls in records.json, which does not change with the notation.
func callsKey(server string) string {
	if server == serverRollout {
		return "launcher"
	}
	return server
}

// Call is a request of an agent to discovery or to the rollout controller.
type Call struct {
	Agent int
	At    netfault.Micros
	What  string
}

// EndpointRow is an endpoint in a version of the endpoint list.
type EndpointRow struct {
	Endpoint    int    `json:"Box"`
	Health      string // active, leaving; left: not in the list any more
	Build       int
	StartedAtMS int64 `json:"Born"` // Unix milliseconds; 0: long before the run
}

// Stage is a state of the rollout.
type Stage struct {
	Build, Stage int
	Phase        string
	Cap          float64
	At           netfault.Micros
}

// Vote is a vote of an agent, as the rollout controller received it.
type Vote struct {
	At             netfault.Micros
	Agent          int
	Build, Stage   int
	Recommendation string `json:"Opinion"` // on, back, hold, none
}

// Arrival is a request that an endpoint received completely.
type Arrival struct {
	At              netfault.Micros
	Endpoint        int `json:"Box"`
	Build           int
	Agent           int
	conn            *countedConn
	StreamOffset    int64           `json:"From"` // of its first byte on its connection
	ID, Key         string          // the client's id of this attempt; the idempotency key
	Class           string          `json:"Product"`
	RanAt           netfault.Micros `json:"Ran"` // -1: it has not run, or was dropped as a duplicate
	WasDeduplicated bool            `json:"Dropped"`
}

// Attempt is one HTTP request of a client to an agent.
type Attempt struct {
	Agent          int
	ID             string
	Class          string `json:"Product"`
	Key            string
	SentAt         netfault.Micros `json:"Sent"`  // its last byte was written; -1: it never was
	EndedAt        netfault.Micros `json:"Ended"` // the last byte of its answer came, or what else ended it
	Status         int             // 0: no complete answer
	Err            string
	HasExtraBytes  bool `json:"Surplus"` // bytes came behind the answer
	Body           string
	WasUnreachable bool `json:"Unreached"` // no connection came up: the agent has not received it

	Timeout         netfault.Micros `json:",omitempty"`     // that the client gave the agent; 0: requestTimeout
	DialedAt        netfault.Micros `json:",omitempty"`     // when its connection was dialed; 0: not known
	HasDisconnected bool            `json:"Gone,omitempty"` // the client closed its connection at EndedAt and wants no answer
}

// processTime is a time at which the process lived that an attempt was sent to: an attempt may be sent completely when the next one has started.
func (a *Attempt) processTime() netfault.Micros {
	if a.DialedAt > 0 {
		return a.DialedAt
	}
	return a.SentAt
}

// timeout is the time that the client gave the agent.
func (a *Attempt) timeout() time.Duration {
	if a.Timeout > 0 {
		return time.Duration(a.Timeout) * time.Microsecond
	}
	return requestTimeout
}

// CloseRace is a request that was sent on a reused connection in the moment in which that ended: it got nothing, and the client sent it
// again. The client had looked for the connection's end right before.
type CloseRace struct {
	Agent   int
	At      netfault.Micros
	ID      string
	Err     string
	IsReset bool // the connection ended by a reset, not by a clean end
}

// Outcomes of a request, over all its attempts.
const (
	outcomeSucceeded = "settled"
	outcomeRejected  = "declined"
	outcomeFailed    = "failed"
)

// Request is what a client wants, with all its attempts.
type Request struct {
	ArrivedAt    netfault.Micros `json:"Came"`
	Agent        int             // of the first attempt
	Outcome      string          `json:"Fate"`
	MetObjective bool            `json:"InTime"`
	Attempts     []Attempt       `json:"Tries"`
}

func (q *Request) lastAttempt() *Attempt { return &q.Attempts[len(q.Attempts)-1] }

// isOfClass tells whether the request is of a class; the empty class means any.
func (q *Request) isOfClass(class string) bool { return class == "" || q.Attempts[0].Class == class }

// lifetimeAt is the process of an agent that was alive at a time, nil without one.
func (r *Records) lifetimeAt(agent int, at netfault.Micros) *ProcessLifetime {
	for i := range r.Lifetimes[agent] {
		if l := &r.Lifetimes[agent][i]; l.Start <= at && (l.End < 0 || at < l.End) {
			return l
		}
	}
	return nil
}

// wasPaused tells whether the process was stopped at any time in a span.
func (l *ProcessLifetime) wasPaused(from, to netfault.Micros) bool {
	return slices.ContainsFunc(l.Pauses, func(pause [2]netfault.Micros) bool {
		return pause[0] <= to && (pause[1] < 0 || from <= pause[1])
	})
}
