package protocol

import "switchfork/internal/policy"

// Result is how an attempt, a health check or a call ended.
type Result int

// The results.
const (
	Succeeded         Result = iota // a complete response with status 200
	ServerError                     // a response that is none of the others
	ClientError                     // a response that says that the request itself is wrong
	NotRun                          // a response that says that the request did not run
	ConnectionRefused               // the connection was refused
	ConnectTimeout                  // the connection did not come up within its timeout
	LostBeforeSent                  // the connection was lost before the last byte was written
	LostAfterSent                   // the connection was lost after that
	TimedOut                        // no response came within the timeout
	Cancelled                       // the policy cancelled it
	Malformed                       // what came is no response of the protocol
	NotSent                         // the agent had no time or no descriptor left for it
	Stale                           // the call names a state that is no longer current
	resultCount                     // the number of results
)

// results maps each result to the policy's outcome and to its name in the log.
var results = [resultCount]struct {
	outcome policy.Outcome
	name    string
}{
	Succeeded:         {policy.OK, "succeeded"},
	ServerError:       {policy.ServerError, "server error"},
	ClientError:       {policy.NotAttempted, "client error"}, // final, and the client's own fault: no sign of the endpoint's state
	NotRun:            {policy.Rejected, "not run"},
	ConnectionRefused: {policy.ConnectFailed, "connection refused"},
	ConnectTimeout:    {policy.ConnectFailed, "connect timeout"},
	LostBeforeSent:    {policy.ConnectFailed, "lost before sent"},
	LostAfterSent:     {policy.ConnectionLost, "lost after sent"},
	TimedOut:          {policy.TimedOut, "timed out"},
	Cancelled:         {policy.Cancelled, "cancelled"},
	Malformed:         {policy.Malformed, "malformed response"},
	NotSent:           {policy.NotAttempted, "not sent"},
	Stale:             {policy.NotAttempted, "stale"},
}

// Outcome is what the result is to the policy.
func (r Result) Outcome() policy.Outcome { return results[r].outcome }

// String is the result's name in the log.
func (r Result) String() string { return results[r].name }
