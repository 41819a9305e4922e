package protocol

import (
	"cmp"
	"encoding/xml"
	"fmt"
	"net/http"

	"switchfork/internal/policy"
)

// verdictNames are the rollout controller's names of the policy's verdicts.
var verdictNames = []string{
	policy.NoVote:   "clear",
	policy.Advance:  "approve",
	policy.Hold:     "wait",
	policy.Rollback: "reject",
}

// The rollout controller's error codes.
const (
	codeThrottling      = "Throttling"      // the vote was not read
	codeConditionFailed = "ConditionFailed" // the build is no longer at that stage
	codeValidationError = "ValidationError"
)

// voteReply is the rollout controller's reply to a vote that counts.
type voteReply struct {
	Statuses []rolloutStatus `xml:"groups>item"`
}

// voteError is its reply to one that does not. The error is the document's root, or inside of it.
type voteError struct {
	RootCode   string `xml:"Code"`
	NestedCode string `xml:"Error>Code"`
}

// VerdictName is the rollout controller's name of a verdict.
func VerdictName(verdict policy.Verdict) string { return verdictNames[verdict] }

// EncodeVote is the body of a call that casts a vote.
func EncodeVote(vote policy.Vote) string {
	return fmt.Sprintf("Action=RecordOpinion&image=%d&ring=%d&opinion=%s", vote.Build, vote.Stage, VerdictName(vote.Verdict))
}

// ReadVoteReply tells how a vote ended and, if it counts, the state of the rollout. A reply that can't be read is TimedOut: the vote may
// count.
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
