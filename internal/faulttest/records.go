package faulttest

import (
	"slices"
	"time"

	"switchfork/internal/faulttest/netfault"
)

// Records holds what the clients, the fake servers, the relays and the deployment itself recorded during a run. The JSON keys are part of the
// format of records.json.
type Records struct {
	Agents              int
	End                 netfault.Micros
	Requests            []Request         `json:"Txns"`
	ConnsWithExtraBytes int               `json:"Surplus"` // client connections on which bytes followed a complete answer
	EndpointStarts      []netfault.Micros `json:"Born"`    // start time by endpoint; -1: long before the run
	Slots               int               // requests that an endpoint serves concurrently
	ServiceTime         netfault.Micros   `json:"Work"` // mean time to serve a request at an endpoint after its slow start
	Calls               map[string][]Call // by server, see callsKey
	Datagrams           []int64           // number of delivered datagrams, by sender
	Arrivals            []Arrival
	Votes               []Vote
	Stages              []Stage             // by version
	EndpointLists       [][]EndpointRow     `json:"Lists"` // by version
	Lifetimes           [][]ProcessLifetime `json:"Lives"` // by agent
	HasElection         bool                `json:"Decider"`
	CloseRaces          []CloseRace         `json:"Crossings"`

	// ReceivedLists and ReceivedStages hold, by agent, when the agent received each version, ordered by time.
	ReceivedLists  [][]Receipt `json:"HadList"`
	ReceivedStages [][]Receipt `json:"HadNews"`
	// SentAt holds, by index in Arrivals, when the agent sent the request to the endpoint; -1 if the relay's trace does not show it.
	SentAt []netfault.Micros
}

// ProcessLifetime is one process of an agent, from its start to its end.
type ProcessLifetime struct {
	Start      netfault.Micros      `json:"From"`
	End        netfault.Micros      `json:"To"`         // -1 while the process runs
	TermSentAt netfault.Micros      `json:"Left"`       // when SIGTERM was sent; -1: never
	Pauses     [][2]netfault.Micros `json:"Standstill"` // start and end of each pause by SIGSTOP; the end is -1 while the pause lasts
	WasKilled  bool                 `json:"Killed"`
	ExitError  string               // exit error of a process that was not killed; empty: it exited with status 0, or is still running
}

// Receipt records when a version of the endpoint list or of the rollout state was delivered to an agent.
type Receipt struct {
	At      netfault.Micros
	Version int `json:"Serial"`
}

// callsKey returns the key of a server's calls in records.json. The keys stay the same when the notation of scenarios changes, so the key
// of the rollout controller is the controller's name in the former notation.
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
	Health      string // active, leaving; left: no longer in the list
	Build       int
	StartedAtMS int64 `json:"Born"` // start time in Unix milliseconds; 0: long before the run
}

// Stage is one version of the rollout state: a build, its stage, phase and traffic cap, and the time At from which the state holds.
type Stage struct {
	Build, Stage int
	Phase        string
	Cap          float64
	At           netfault.Micros
}

// Vote is an agent's vote, as the rollout controller received it.
type Vote struct {
	At             netfault.Micros
	Agent          int
	Build, Stage   int
	Recommendation string `json:"Opinion"` // "on" (advance), "back" (roll back), "hold" or "none"
}

// Arrival is a request that an endpoint received completely.
type Arrival struct {
	At              netfault.Micros
	Endpoint        int `json:"Box"`
	Build           int
	Agent           int
	conn            *countedConn
	StreamOffset    int64           `json:"From"` // number of bytes that the endpoint read from the connection before the request
	ID, Key         string          // the client's ID of the attempt; the idempotency key, or for classNonIdempotent the sid parameter
	Class           string          `json:"Product"`
	RanAt           netfault.Micros `json:"Ran"` // -1: the request did not run, or was dropped as a duplicate
	WasDeduplicated bool            `json:"Dropped"`
}

// Attempt is one HTTP request of a client to an agent.
type Attempt struct {
	Agent          int
	ID             string
	Class          string `json:"Product"`
	Key            string
	SentAt         netfault.Micros `json:"Sent"`  // when its last byte was written; -1: never
	EndedAt        netfault.Micros `json:"Ended"` // when the last byte of its answer was read, or when the attempt ended otherwise
	Status         int             // 0: no complete answer
	Err            string
	HasExtraBytes  bool `json:"Surplus"` // bytes followed the complete answer
	Body           string
	WasUnreachable bool `json:"Unreached"` // no connection was established, so the agent has not received the attempt

	Timeout         netfault.Micros `json:",omitempty"`     // timeout that the client gave the agent; 0: requestTimeout
	DialedAt        netfault.Micros `json:",omitempty"`     // when its connection was dialed; 0: unknown
	HasDisconnected bool            `json:"Gone,omitempty"` // the client closed its connection at EndedAt and expects no answer
}

// processTime returns a time at which the process that received the attempt was running. SentAt may be too late for that: the agent's next
// process may have started before the attempt was sent completely.
func (a *Attempt) processTime() netfault.Micros {
	if a.DialedAt > 0 {
		return a.DialedAt
	}
	return a.SentAt
}

// timeout returns the timeout that the client gave the agent.
func (a *Attempt) timeout() time.Duration {
	if a.Timeout > 0 {
		return time.Duration(a.Timeout) * time.Microsecond
	}
	return requestTimeout
}

// CloseRace is a request that was sent on a reused connection at the moment at which the connection ended. It got no answer, and the client
// sent it again. Right before the first sending, the client had checked that the connection was still open.
type CloseRace struct {
	Agent   int
	At      netfault.Micros
	ID      string
	Err     string
	IsReset bool // the connection was reset, not closed cleanly
}

// Outcomes of a request, over all its attempts.
const (
	outcomeSucceeded = "settled"
	outcomeRejected  = "declined"
	outcomeFailed    = "failed"
)

// Request is a request of a client with all its attempts.
type Request struct {
	ArrivedAt    netfault.Micros `json:"Came"`
	Agent        int             // agent of the first attempt
	Outcome      string          `json:"Fate"`
	MetObjective bool            `json:"InTime"`
	Attempts     []Attempt       `json:"Tries"`
}

func (q *Request) lastAttempt() *Attempt { return &q.Attempts[len(q.Attempts)-1] }

// isOfClass reports whether the request is of a class. The empty class matches any request.
func (q *Request) isOfClass(class string) bool { return class == "" || q.Attempts[0].Class == class }

// lifetimeAt returns the process of an agent that was running at the time at, or nil if there was none.
func (r *Records) lifetimeAt(agent int, at netfault.Micros) *ProcessLifetime {
	for i := range r.Lifetimes[agent] {
		if l := &r.Lifetimes[agent][i]; l.Start <= at && (l.End < 0 || at < l.End) {
			return l
		}
	}
	return nil
}

// wasPaused reports whether the process was paused at any time between from and to.
func (l *ProcessLifetime) wasPaused(from, to netfault.Micros) bool {
	return slices.ContainsFunc(l.Pauses, func(pause [2]netfault.Micros) bool {
		return pause[0] <= to && (pause[1] < 0 || from <= pause[1])
	})
}
