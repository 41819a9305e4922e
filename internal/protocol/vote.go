package protocol

import (
	"cmp"
	"encoding/xml"
	"fmt"
	"net/http"

	"switchfork/internal/policy"
)

// verdictNames holds the rollout controller's name of each verdict.
var verdictNames = []string{
	policy.NoVote:   "clear",
	policy.Advance:  "approve",
	policy.Hold:     "wait",
	policy.Rollback: "reject",
}

// The rollout controller's error codes.
const (
	codeThrottling      = "Throttling"      // the vote was not processed
	codeConditionFailed = "ConditionFailed" // the build is no longer at the vote's stage
	codeValidationError = "ValidationError"
)

// voteReply is the rollout controller's reply to an accepted vote.
type voteReply struct {
	Statuses []rolloutStatus `xml:"groups>item"`
}

// voteError is the rollout controller's reply to a vote that it did not accept. The Error element is the root of the document or a child of
// the root.
type voteError struct {
	RootCode   string `xml:"Code"`
	NestedCode string `xml:"Error>Code"`
}

// VerdictName returns the rollout controller's name of a verdict.
func VerdictName(verdict policy.Verdict) string { return verdictNames[verdict] }

// EncodeVote returns the request body of a call that casts a vote.
func EncodeVote(vote policy.Vote) string {
	return fmt.Sprintf("Action=RecordOpinion&image=%d&ring=%d&opinion=%s", vote.Build, vote.Stage, VerdictName(vote.Verdict))
}

// ReadVoteReply returns the result of a vote and, if the vote was accepted, the state of the rollout. If the reply can't be parsed, the
// result is TimedOut, because the vote may have been accepted.
func ReadVoteReply(status int, raw []byte) (Result, policy.RolloutUpdate) {
	switch status {
	case http.StatusOK:
		if update, ok := readVoteStatus(raw); ok {
			return Succeeded, update
		}
	case http.StatusBadRequest:
		return readVoteError(raw), policy.RolloutUpdate{}
	case http.StatusInternalServerError:
		return ServerError, policy.RolloutUpdate{}
	}
	return TimedOut, policy.RolloutUpdate{}
}

func readVoteStatus(raw []byte) (policy.RolloutUpdate, bool) {
	var reply voteReply
	if xml.Unmarshal(raw, &reply) != nil || len(reply.Statuses) != 1 {
		return policy.RolloutUpdate{}, false
	}
	update, err := reply.Statuses[0].update()
	return update, err == nil
}

func readVoteError(raw []byte) Result {
	var reply voteError
	if xml.Unmarshal(raw, &reply) != nil {
		return TimedOut
	}
	switch cmp.Or(reply.NestedCode, reply.RootCode) {
	case codeThrottling:
		return NotRun
	case codeConditionFailed:
		return Stale
	case codeValidationError:
		return ServerError
	default:
		return TimedOut
	}
}
