package protocol

import (
	"cmp"
	"encoding/xml"
	"fmt"
	"net/http"

	"switchfork/internal/policy"
)

var VerdictNames = []string{policy.NoVote: "clear", policy.Advance: "approve", policy.Hold: "wait", policy.RollBack: "reject"}

func EncodeVote(v policy.Vote) string {
	return fmt.Sprintf("Action=RecordOpinion&image=%d&ring=%d&opinion=%s", v.Build, v.Stage, VerdictNames[v.Verdict])
}

// ReadVoteReply tells how a vote ended and, if it counts, where the build stands.
func ReadVoteReply(status int, raw []byte) (Result, policy.RolloutUpdate) {
	var ok struct {
		News []rolloutStatus `xml:"groups>item"`
	}
	var no struct { // the error stands alone, or inside the answer
		Alone  string `xml:"Code"`
		Inside string `xml:"Error>Code"`
	}
	switch {
	case status == http.StatusOK:
		if xml.Unmarshal(raw, &ok) == nil && len(ok.News) == 1 {
			if s, err := ok.News[0].update(); err == nil {
				return Succeeded, s
			}
		}
	case status == http.StatusBadRequest && xml.Unmarshal(raw, &no) == nil:
		switch cmp.Or(no.Inside, no.Alone) {
		case "Throttling":
			return NotRun, policy.RolloutUpdate{}
		case "ConditionFailed":
			return Stale, policy.RolloutUpdate{}
		case "ValidationError":
			return ServerError, policy.RolloutUpdate{}
		}
	case status == http.StatusInternalServerError:
		return ServerError, policy.RolloutUpdate{}
	}
	return TimedOut, policy.RolloutUpdate{} // it may count
}
