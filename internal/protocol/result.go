package protocol

import "switchfork/internal/policy"

// Result is how a submission, a probe or a call ended.
type Result int

const (
	Succeeded         Result = iota // a whole 200 answer
	ServerError                     // an answer that is none of the others
	ClientError                     // an answer that the request itself is wrong
	NotRun                          // an answer that says that it never ran
	ConnectionRefused               // the connection was refused
	ConnectTimeout                  // the connection did not come up in its time
	LostBeforeSent                  // it broke before the last byte was written
	LostAfterSent                   // it broke after that
	TimedOut                        // nothing came while the agent waited
	Cancelled                       // the module called it off
	Malformed                       // what came is no answer
	NotSent                         // the agent had no time or no descriptor left for it
	Stale                           // the call names what no longer stands
	resultCount                     // not an ending
)

// results is the one place that maps endings to outcomes, with the words that the log uses.
var results = [resultCount]struct {
	outcome policy.Outcome
	word    string
}{
	Succeeded:         {policy.OK, "settled"},
	ServerError:       {policy.ServerError, "error"},
	ClientError:       {policy.NotAttempted, "rejected"}, // the client's own doing, and final: no sign of the appliance's state
	NotRun:            {policy.Rejected, "turned away"},
	ConnectionRefused: {policy.ConnectFailed, "connection refused"},
	ConnectTimeout:    {policy.ConnectFailed, "connection never came up"},
	LostBeforeSent:    {policy.ConnectFailed, "broke before the last byte"},
	LostAfterSent:     {policy.ConnectionLost, "broke after the last byte"},
	TimedOut:          {policy.TimedOut, "nothing in time"},
	Cancelled:         {policy.Cancelled, "called off"},
	Malformed:         {policy.Malformed, "unreadable answer"},
	NotSent:           {policy.NotAttempted, "not sent"},
	Stale:             {policy.NotAttempted, "outdated"},
}

func (e Result) Outcome() policy.Outcome { return results[e].outcome }

func (e Result) String() string { return results[e].word }
