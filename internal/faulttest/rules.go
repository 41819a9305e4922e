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
	// answerSlack is how late an answer may be without breaking a rule, since a busy test machine delays answers. The benchmark
	// that users run also counts an answer as lost after half a second.
	answerSlack = 500 * time.Millisecond
	// drainSlack is the 50 ms that the protocol allows, plus the time between an agent's write and its relay's timestamp on a busy machine.
	drainSlack = 150 * time.Millisecond
	// maxViolationsPerRule limits how many violations of one rule are reported.
	maxViolationsPerRule = 20
	// killDelay is the time from SIGTERM to SIGKILL that the protocol defines for deadlines of up to 3 s.
	killDelay = 3700 * time.Millisecond
	// acceptAfterTerm is how long after SIGTERM new connections still arrive, according to the protocol.
	acceptAfterTerm = 200 * time.Millisecond
	// exitSlack is how early before its exit a process that was not killed may close its listener. A request that was sent in this time need
	// not be answered.
	exitSlack = 50 * time.Millisecond
	// maxCleanCloseRaces is how often in a run a connection may be closed cleanly at the moment at which a request is sent on it. The moment
	// lasts microseconds, and affects a request in about one of a hundred restarts.
	maxCleanCloseRaces = 1
	// disconnectSlack is how long an agent may still send attempts for a client that has disconnected: the 0.1 s that the protocol allows,
	// plus drainSlack.
	disconnectSlack = 100*time.Millisecond + drainSlack
)

// Violation describes one case in which a rule was broken.
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

// seconds converts microseconds to the seconds that reports print.
func seconds(at netfault.Micros) float64 { return float64(at) / 1e6 }

// CheckRules checks the records against the rules that apply to every scenario. It does no I/O, reads no clock, and uses nothing that an
// agent reports about itself.
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

// checkOneAnswer checks that every request that a running agent has received gets exactly one complete answer before its timeout.
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
	if !r.isAnswerRequired(a, due) {
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

// isAnswerRequired reports whether an agent was able and obliged to answer an attempt. A process that was killed or paused need not answer. A
// process that was sent SIGTERM has to answer what it had received by then. If it then exits without being killed, it also has to answer
// what it received up to exitSlack before its exit.
func (r *Records) isAnswerRequired(a Attempt, due netfault.Micros) bool {
	process := r.lifetimeAt(a.Agent, a.processTime())
	if process == nil || process.wasPaused(a.SentAt, due) {
		return false
	}
	if process.End >= 0 && a.SentAt >= process.End {
		return false // the request was not sent completely before the process ended
	}
	endedBeforeDue := process.End >= 0 && process.End <= due
	receivedBeforeTerm := process.TermSentAt >= 0 && a.SentAt <= process.TermSentAt
	receivedBeforeExit := process.TermSentAt >= 0 && !process.WasKilled && a.SentAt < process.End-exitSlack.Microseconds()
	return !endedBeforeDue || receivedBeforeTerm || receivedBeforeExit
}

// checkNoDuplicateEffect checks that no request with an idempotency key runs twice. A request that an endpoint dropped as a duplicate did
// not run. Clients do not cause a second run themselves. They retry a request of a class that must never run twice only after an answer that
// says that the request did not run. They retry a keyed request well within the endpoints' deduplication window.
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

// newestReceived returns the newest version that an agent had received at the time by, or -1 if it had received none. A version that
// arrives after a newer one changes nothing.
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

// endpointHealth returns an endpoint's health in a version of the list. An endpoint that is not listed was removed.
func endpointHealth(rows []EndpointRow, endpoint int) string {
	for _, row := range rows {
		if row.Endpoint == endpoint {
			return row.Health
		}
	}
	return healthRemoved
}

// checkDrainsRespected checks that an agent sends no new request to an endpoint after the grace period that follows the notification that
// the endpoint drains or was removed. A version counts as received once it was delivered to the agent's machine, even while the process
// is paused.
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

// inactiveSince returns when an agent learned that an endpoint is not active, from the versions that the agent had received at the time by.
// That is when the agent received the first version in which the endpoint is not active, after the last version in which it is active. The
// result is -1 if the endpoint is active in the newest version.
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

// checkNoContraryVotes checks that no two contrary votes are cast on one stage while the first of them may still count. An agent may
// replace its own vote to advance with a vote to roll back. The reverse order is a violation: at best the vote to advance was delayed. The
// rule applies only where one elected agent votes for all agents; otherwise each agent has its own recommendation.
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

// claim states that an agent holds something exclusively during a period.
type claim struct {
	what     string
	agent    int
	from, to netfault.Micros
}

// claims returns the claims that follow from the servers' records: an agent holds the vote for as long as its vote counts. The claims do
// not distinguish builds and stages.
func (r *Records) claims() (out []claim) {
	for _, v := range r.Votes {
		if v.Recommendation != recommendNone {
			out = append(out, claim{"vote", v.Agent, v.At, v.At + fakes.VoteLifetime.Microseconds()})
		}
	}
	return out
}

// findSharedClaim describes two agents that hold the same thing, named by what, at the same time within the range in. It returns an empty
// text if there are no such agents.
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
