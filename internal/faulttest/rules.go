package faulttest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// Names of the rules, as reports print them.
const (
	ruleOneAnswer              = "one answer"
	ruleNoDuplicateEffect      = "no duplicate effect"
	ruleDrainsRespected        = "drains respected"
	ruleSlowStart              = "slow start"
	ruleExposureCap            = "exposure"
	ruleNoContraryVotes        = "no contrary votes"
	ruleReusedConnections      = "reused connections"
	ruleShutdown               = "shutdown"
	ruleNothingAfterDisconnect = "nothing after disconnect"
)

const (
	// answerSlack allows for lateness of a busy test machine: an answer that is late by no more than this breaks no rule. The users'
	// benchmark counts an answer as lost after half a second.
	answerSlack = 500 * time.Millisecond
	// drainSlack is the protocol's 50 ms, and what lies between an agent's write and its relay's look at the clock on a busy machine.
	drainSlack = 150 * time.Millisecond
	// maxViolationsPerRule bounds how many violations of one rule are reported.
	maxViolationsPerRule = 20
	// killDelay is the protocol's: SIGKILL comes so long after SIGTERM, for deadlines of up to 3 s.
	killDelay = 3700 * time.Millisecond
	// acceptAfterTerm is the protocol's: new connections still come for so long after SIGTERM.
	acceptAfterTerm = 200 * time.Millisecond
	// exitSlack: what was sent so shortly before a process ended by itself may have met its closed listener.
	exitSlack = 50 * time.Millisecond
	// maxCleanCloseRaces: a request may meet the clean end of a connection in the microseconds in which it ends, one in a hundred restarts.
	maxCleanCloseRaces = 1
	// disconnectSlack is the protocol's 0.1 s for an attempt of a client that has disconnected, and drainSlack.
	disconnectSlack = 100*time.Millisecond + drainSlack
)

// Violation is a rule that was broken.
type Violation struct {
	Rule string
	At   netfault.Micros
	What string
}

func (v Violation) String() string {
	return fmt.Sprintf("rule %s at %.3f s: %s", v.Rule, seconds(v.At), v.What)
}

// RuleOf returns the name of the rule in the text of a violation.
func RuleOf(violation string) string {
	rule, _, _ := strings.Cut(strings.TrimPrefix(violation, "rule "), " at ")
	return rule
}

// seconds are microseconds as reports print them.
func seconds(at netfault.Micros) float64 { return float64(at) / 1e6 }

// CheckRules holds the rules of every scenario against the records. It does no I/O, reads no clock, and uses nothing that an agent
// reports about itself.
func CheckRules(r *Records) (out []Violation) {
	rules := []func(*Records) []Violation{
		checkOneAnswer, checkNoDuplicateEffect, checkDrainsRespected, checkSlowStart, checkExposureCap, checkNoContraryVotes,
		checkReusedConnections, checkShutdown, checkNothingAfterDisconnect,
	}
	for _, rule := range rules {
		found := rule(r)
		slices.SortFunc(found, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
		if len(found) > maxViolationsPerRule {
			more := fmt.Sprintf("and %d more", len(found)-maxViolationsPerRule)
			found = append(found[:maxViolationsPerRule], Violation{found[0].Rule, found[maxViolationsPerRule].At, more})
		}
		out = append(out, found...)
	}
	return out
}

// checkOneAnswer: every request that a running agent has received gets exactly one complete answer before its timeout.
func checkOneAnswer(r *Records) (out []Violation) {
	if r.ConnsWithExtraBytes > 0 {
		out = append(out, Violation{ruleOneAnswer, r.End, fmt.Sprintf("bytes behind the answer on %d connections", r.ConnsWithExtraBytes)})
	}
	for _, request := range r.Requests {
		for _, attempt := range request.Attempts {
			out = append(out, r.checkAttemptAnswered(attempt)...)
		}
	}
	return out
}

func (r *Records) checkAttemptAnswered(a Attempt) (out []Violation) {
	if a.HasExtraBytes {
		out = append(out, Violation{ruleOneAnswer, a.EndedAt, fmt.Sprintf("bytes behind the answer to %s of agent %d", a.ID, a.Agent)})
	}
	if a.SentAt < 0 || a.HasDisconnected {
		return out
	}
	due := a.SentAt + (a.timeout() + fakes.AnswerGrace + answerSlack).Microseconds()
	if !r.owesAnswer(a, due) {
		return out
	}
	switch {
	case a.Status == 0:
		out = append(out, Violation{ruleOneAnswer, a.EndedAt, fmt.Sprintf("agent %d gave %s (%s) no complete answer: %s", a.Agent, a.ID, a.Class, a.Err)})
	case a.EndedAt > due:
		out = append(out, Violation{ruleOneAnswer, a.EndedAt, fmt.Sprintf("agent %d answered %s (%s) %.3f s after it was sent",
			a.Agent, a.ID, a.Class, seconds(a.EndedAt-a.SentAt))})
	}
	return out
}

// owesAnswer tells whether an agent was able and obliged to answer an attempt. A killed or paused process owes nothing; one that was
// sent SIGTERM owes an answer to what it had received until then, and one that ended by itself to what it received before that.
func (r *Records) owesAnswer(a Attempt, due netfault.Micros) bool {
	process := r.lifetimeAt(a.Agent, a.processTime())
	if process == nil || process.wasPaused(a.SentAt, due) {
		return false
	}
	if process.End >= 0 && a.SentAt >= process.End {
		return false // it was not sent completely while the process lived
	}
	endedBeforeDue := process.End >= 0 && process.End <= due
	receivedBeforeTerm := process.TermSentAt >= 0 && a.SentAt <= process.TermSentAt
	receivedBeforeExit := process.TermSentAt >= 0 && !process.WasKilled && a.SentAt < process.End-exitSlack.Microseconds()
	return !endedBeforeDue || receivedBeforeTerm || receivedBeforeExit
}

// checkNoDuplicateEffect: no request with an idempotency key runs twice; what the endpoints dropped as a duplicate did not run.
// Clients retry a class that must never run twice only after an answer that says it has not run, and a keyed request well within
// the endpoints' deduplication window.
func checkNoDuplicateEffect(r *Records) (out []Violation) {
	first := map[string]Arrival{}
	for _, a := range r.Arrivals {
		if a.RanAt < 0 || a.Key == "" {
			continue
		}
		key := a.Class + " " + a.Key
		b, ranBefore := first[key]
		if !ranBefore {
			first[key] = a
			continue
		}
		out = append(out, Violation{ruleNoDuplicateEffect, a.RanAt, fmt.Sprintf(
			"%s ran at endpoint %d of agent %d, and %.3f s before at endpoint %d of agent %d (attempts %s and %s)",
			key, a.Endpoint, a.Agent, seconds(a.RanAt-b.RanAt), b.Endpoint, b.Agent, a.ID, b.ID)})
	}
	return out
}

// newestReceived is the newest version that an agent had by a time; -1: none. An older version that comes again changes nothing.
func newestReceived(receipts []Receipt, by netfault.Micros) int {
	newest := -1
	for _, receipt := range receipts {
		if receipt.At > by {
			break
		}
		newest = max(newest, receipt.Version)
	}
	return newest
}

// endpointHealth is an endpoint's health in a version of the list; an endpoint that is not listed was removed.
func endpointHealth(rows []EndpointRow, endpoint int) string {
	for _, row := range rows {
		if row.Endpoint == endpoint {
			return row.Health
		}
	}
	return healthRemoved
}

// checkDrainsRespected: no new request to an endpoint later than the grace after its agent was notified that it drains or is gone. A
// version counts as received once it was handed to the agent's machine, also while the process is paused.
func checkDrainsRespected(r *Records) (out []Violation) {
	grace := (fakes.DrainGrace + drainSlack).Microseconds()
	for i, a := range r.Arrivals {
		sent := r.SentAt[i]
		if a.Agent < 0 || sent < 0 || r.lifetimeAt(a.Agent, sent) == nil {
			continue
		}
		receipts := r.ReceivedLists[a.Agent]
		newest := newestReceived(receipts, sent)
		if newest < 0 {
			continue
		}
		health := endpointHealth(r.EndpointLists[newest], a.Endpoint)
		if health == healthActive {
			continue
		}
		since := r.inactiveSince(receipts, a.Endpoint, sent)
		if since >= 0 && sent-since > grace {
			out = append(out, Violation{ruleDrainsRespected, sent, fmt.Sprintf("agent %d sent %s to endpoint %d %.3f s after it was notified that it is %s",
				a.Agent, a.ID, a.Endpoint, seconds(sent-since), health)})
		}
	}
	return out
}

// inactiveSince is when the first of the latest run of versions that all list the endpoint as not active was received; -1: never.
func (r *Records) inactiveSince(receipts []Receipt, endpoint int, by netfault.Micros) netfault.Micros {
	since := netfault.Micros(-1)
	newest := -1
	for _, receipt := range receipts {
		if receipt.At > by || receipt.Version <= newest {
			continue
		}
		newest = receipt.Version
		isActive := endpointHealth(r.EndpointLists[newest], endpoint) == healthActive
		switch {
		case isActive:
			since = -1
		case since < 0:
			since = receipt.At
		}
	}
	return since
}

// checkNoContraryVotes: no two agents cast contrary votes on one stage, of which the first may still count when the second comes. An
// agent's own vote back may replace its vote on; the other way round is a vote that came late, or worse. The rule applies only
// where one elected agent votes for all; otherwise each agent has its own recommendation.
func checkNoContraryVotes(r *Records) (out []Violation) {
	if !r.HasElection {
		return nil
	}
	lifetime := fakes.VoteLifetime.Microseconds()
	for i, a := range r.Votes {
		for _, b := range r.Votes[i+1:] {
			replacesOwn := a.Agent == b.Agent && a.Recommendation == recommendAdvance
			sameStage := a.Build == b.Build && a.Stage == b.Stage
			if !replacesOwn && sameStage && areContrary(a.Recommendation, b.Recommendation) && b.At-a.At < lifetime {
				out = append(out, Violation{ruleNoContraryVotes, b.At, fmt.Sprintf("agent %d voted %s on build %d stage %d, agent %d voted %s %.3f s before",
					b.Agent, recommendationWord(b.Recommendation), b.Build, b.Stage, a.Agent, recommendationWord(a.Recommendation), seconds(b.At-a.At))})
			}
		}
	}
	return out
}

func areContrary(a, b string) bool {
	return a == recommendAdvance && b == recommendRollback || a == recommendRollback && b == recommendAdvance
}

// claim is that an agent holds something exclusively over a span of time.
type claim struct {
	what     string
	agent    int
	from, to netfault.Micros
}

// claims are derived from what the servers recorded: an agent holds the vote on a stage for as long as its vote stands.
func (r *Records) claims() (out []claim) {
	for _, v := range r.Votes {
		if v.Recommendation != recommendNone {
			out = append(out, claim{"vote", v.Agent, v.At, v.At + fakes.VoteLifetime.Microseconds()})
		}
	}
	return out
}

// findSharedClaim describes two agents that hold the same thing at one time; it is empty where there are none.
func findSharedClaim(claims []claim, what string, in timeRange) string {
	for i, a := range claims {
		for _, b := range claims[i+1:] {
			from, to := max(a.from, b.from, in.from), min(a.to, b.to, in.to)
			if a.what == what && b.what == what && a.agent != b.agent && from < to {
				return fmt.Sprintf("agents %d and %d both hold %s at %.3f s", a.agent, b.agent, what, seconds(from))
			}
		}
	}
	return ""
}
