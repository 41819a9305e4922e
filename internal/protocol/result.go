package protocol

import "switchfork/internal/policy"

// Result is the result of an attempt, a health check or a call to the rollout controller.
type Result int

// The results.
const (
	Succeeded         Result = iota // a complete response with status 200
	ServerError                     // a complete response that is not Succeeded, ClientError or NotRun
	ClientError                     // a response that says that the request itself is invalid
	NotRun                          // a response that says that the request was not run
	ConnectionRefused               // the connection was refused
	ConnectTimeout                  // the connection was not established within its timeout
	LostBeforeSent                  // the connection was lost before the last byte of the request was written
	LostAfterSent                   // the connection was lost after the last byte of the request was written
	TimedOut                        // no response arrived within the timeout
	Cancelled                       // the policy cancelled the attempt
	Malformed                       // the response does not follow the protocol
	NotSent                         // the agent sent nothing, for example because no time or no file descriptor was left
	Stale                           // the call refers to a state that is no longer current
	resultCount                     // the number of results
)

// results maps each result to the policy's outcome and to its name in the log.
var results = [resultCount]struct {
	outcome policy.Outcome
	name    string
}{
	Succeeded:         {policy.OK, "succeeded"},
	ServerError:       {policy.ServerError, "server error"},
	ClientError:       {policy.NotAttempted, "client error"}, // final, and caused by the client, so it says nothing about the endpoint's health
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

// MayHaveRun reports whether an attempt with the result has run, may have run or may still run.
func (r Result) MayHaveRun() bool {
	switch r {
	case Succeeded, ServerError, ClientError, LostAfterSent, TimedOut, Cancelled, Malformed:
		return true
	case NotRun, ConnectionRefused, ConnectTimeout, LostBeforeSent, NotSent, Stale, resultCount:
	}
	return false
}

// Outcome returns the policy's outcome for the result.
func (r Result) Outcome() policy.Outcome { return results[r].outcome }

// String returns the result's name as it is logged.
func (r Result) String() string { return results[r].name }
