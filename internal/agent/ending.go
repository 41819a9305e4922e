package agent

import "switchfork/internal/policy"

// This file owns the one list of ways in which a connection's use can end, and what each means to the module.
// It must never look at figures or decide what to do about an ending.

// Ending is how a submission, a probe or a call ended.
type Ending int

const (
	Settled     Ending = iota // a whole 200 answer
	Errored                   // an answer that is none of the others
	Rejected                  // an answer that the request itself is wrong
	TurnedAway                // an answer that says that it never ran
	Refused                   // the connection was refused
	NeverUp                   // the connection did not come up in its time
	CutBefore                 // it broke before the last byte was written
	CutAfter                  // it broke after that
	Silent                    // nothing came while the agent waited
	GivenUp                   // the module called it off
	Unreadable                // what came is no answer
	NotSent                   // the agent had no time or no descriptor left for it
	Outdated                  // the call names what no longer stands
	endingCount               // not an ending
)

// meaning is the one place that maps endings to outcomes, with the words that the log uses.
var meaning = [endingCount]struct {
	outcome policy.Outcome
	word    string
}{
	Settled:    {policy.OK, "settled"},
	Errored:    {policy.ServerError, "error"},
	Rejected:   {policy.NotAttempted, "rejected"}, // the client's own doing, and final: no sign of the appliance's state
	TurnedAway: {policy.Rejected, "turned away"},
	Refused:    {policy.ConnectFailed, "connection refused"},
	NeverUp:    {policy.ConnectFailed, "connection never came up"},
	CutBefore:  {policy.ConnectFailed, "broke before the last byte"},
	CutAfter:   {policy.ConnectionLost, "broke after the last byte"},
	Silent:     {policy.TimedOut, "nothing in time"},
	GivenUp:    {policy.Cancelled, "called off"},
	Unreadable: {policy.Malformed, "unreadable answer"},
	NotSent:    {policy.NotAttempted, "not sent"},
	Outdated:   {policy.NotAttempted, "outdated"},
}

func (e Ending) outcome() policy.Outcome { return meaning[e].outcome }

func (e Ending) String() string { return meaning[e].word }
