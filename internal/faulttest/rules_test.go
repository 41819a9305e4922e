package faulttest

import (
	"strings"
	"testing"

	"switchfork/internal/faulttest/netfault"
)

const second = netfault.Micros(1_000_000)

// validRecords returns records that break no rule, and that contain something for each rule to check.
func validRecords() *Records {
	r := &Records{
		Agents: 2, End: 20 * second, HasElection: true, EndpointStarts: []netfault.Micros{second, -1}, Slots: 2, ServiceTime: second / 100,
		Stages:        []Stage{{7, 2, "live", 1, 0}, {8, 0, "testing", 0.2, 0}, {8, 0, "recalling", 0, 0}},
		EndpointLists: [][]EndpointRow{{{0, "active", 7, 0}, {1, "active", 8, 0}}, {{0, "leaving", 7, 0}, {1, "active", 8, 0}}},
		Lifetimes:     [][]ProcessLifetime{{{Start: 0, End: -1, TermSentAt: -1}}, {{Start: 0, End: 9 * second, TermSentAt: -1}}},
		ReceivedLists: [][]Receipt{{{0, 0}, {5 * second, 1}}, {{0, 0}}}, ReceivedStages: [][]Receipt{{{0, 0}, {2 * second, 1}, {10 * second, 2}}, {{0, 0}, {2 * second, 1}}},
		Votes: []Vote{{3 * second, 0, 8, 0, "on"}, {8 * second, 1, 8, 0, "back"}, {8 * second, 1, 8, 1, "on"}},
	}
	for i := range 20 {
		at := 2*second + netfault.Micros(i)*second/10
		attempt := Attempt{Agent: 0, ID: "x", Class: classIdempotent, SentAt: at, EndedAt: at + second/100, Status: 200}
		r.Requests = append(r.Requests, Request{ArrivedAt: at, Agent: 0, Outcome: outcomeSucceeded, Attempts: []Attempt{attempt}})
	}
	r.addArrival(0, 1, 3*second, classKeyed, "k1")
	r.addArrival(0, 0, 6*second, classIdempotent, "") // within the grace period after the drain
	return r
}

func (r *Records) addArrival(agent, endpoint int, at netfault.Micros, class, key string) {
	build := r.EndpointLists[0][endpoint].Build
	r.Arrivals = append(r.Arrivals, Arrival{At: at, Endpoint: endpoint, Build: build, Agent: agent, ID: "y", Key: key, Class: class, RanAt: at})
	r.SentAt = append(r.SentAt, at)
}

// Each rule finds its violations, and finds none in valid records.
func TestCheckRulesFindsViolations(t *testing.T) {
	if found := CheckRules(validRecords()); len(found) > 0 {
		t.Fatalf("valid records: got the violations %v, want none", found)
	}
	onAttempt := func(change func(*Attempt)) func(*Records) {
		return func(r *Records) { change(&r.Requests[3].Attempts[0]) }
	}
	for _, c := range []struct {
		what, rule string // an empty rule: the records are still valid
		change     func(*Records)
	}{
		{"no answer", "one answer", onAttempt(func(a *Attempt) { a.Status = 0 })},
		{"an answer after the request's timeout", "one answer", onAttempt(func(a *Attempt) { a.EndedAt = a.SentAt + 3*second })},
		{"extra bytes read with an answer", "one answer", onAttempt(func(a *Attempt) { a.HasExtraBytes = true })},
		{"extra bytes on an idle connection", "one answer", func(r *Records) { r.ConnsWithExtraBytes = 1 }},
		{"no answer from a process that was killed", "", func(r *Records) { r.Requests[3].Attempts[0].Status = 0; r.Lifetimes[0][0].End = 4 * second }},
		{"no answer from a process that is paused", "", func(r *Records) {
			r.Requests[3].Attempts[0].Status = 0
			r.Lifetimes[0][0].Pauses = [][2]netfault.Micros{{2 * second, 9 * second}}
		}},
		{"no answer to a request received before SIGTERM", "one answer", func(r *Records) {
			r.Requests[3].Attempts[0].Status = 0
			r.Lifetimes[0][0].TermSentAt, r.Lifetimes[0][0].End = 3*second, 4*second
		}},
		{"a keyed request that ran again", "no duplicate effect", func(r *Records) { r.addArrival(1, 0, 13*second, classKeyed, "k1") }},
		{"a non-idempotent request that ran again", "no duplicate effect", func(r *Records) {
			r.addArrival(0, 1, 3*second, classNonIdempotent, "f")
			r.addArrival(1, 0, 4*second, classNonIdempotent, "f")
		}},
		{"a keyed request that was dropped as a duplicate", "", func(r *Records) {
			r.addArrival(1, 0, 4*second, classKeyed, "k1")
			r.Arrivals[len(r.Arrivals)-1].RanAt = -1
		}},
		{"a request to a draining endpoint after the grace period", "drains respected", func(r *Records) { r.addArrival(0, 0, 6*second+second/2, classIdempotent, "") }},
		{"a request to a draining endpoint from a process that was paused when it was notified", "drains respected", func(r *Records) {
			r.Lifetimes[0][0].Pauses = [][2]netfault.Micros{{4 * second, 7 * second}}
			r.addArrival(0, 0, 7*second, classIdempotent, "")
		}},
		{"a request to a draining endpoint from an agent that was never notified", "", func(r *Records) { r.addArrival(1, 0, 8*second, classIdempotent, "") }},
		{"too many requests to an endpoint in its slow start", "slow start", func(r *Records) {
			for i := range netfault.Micros(400) {
				r.addArrival(int(i)%2, 0, second+i*second/400, classIdempotent, "")
			}
		}},
		{"as many requests to an endpoint at full speed", "", func(r *Records) {
			r.EndpointStarts[0] = -1
			for i := range netfault.Micros(400) {
				r.addArrival(int(i)%2, 0, second+i*second/400, classIdempotent, "")
			}
		}},
		{"too many requests to a canary build", "exposure", func(r *Records) {
			for i := range netfault.Micros(10) {
				r.addArrival(0, 1, 3*second+i, classIdempotent, "")
			}
		}},
		{"requests to a build after its cap became 0", "exposure", func(r *Records) {
			for i := range netfault.Micros(6) {
				r.addArrival(0, 1, 12*second+i, classIdempotent, "")
			}
		}},
		{"an answer after the request's own short timeout", "one answer", onAttempt(func(a *Attempt) { a.Timeout, a.EndedAt = second/50, a.SentAt+second })},
		{"no answer to a client that disconnected", "", onAttempt(func(a *Attempt) { a.Status, a.HasDisconnected = 0, true })},
		{"no answer to a request received after SIGTERM, before the process exited without being killed", "one answer", func(r *Records) {
			r.Requests[3].Attempts[0].Status = 0
			r.Lifetimes[0][0].TermSentAt, r.Lifetimes[0][0].End = 2*second+second/10, 4*second
		}},
		{"no answer to a request that was sent completely only after the process had ended", "", func(r *Records) {
			attempt := &r.Requests[3].Attempts[0]
			attempt.Status, attempt.DialedAt = 0, attempt.SentAt-second/10
			r.Lifetimes[0] = []ProcessLifetime{{Start: 0, End: attempt.SentAt - second/20, TermSentAt: second}, {Start: attempt.SentAt - second/50, End: -1, TermSentAt: -1}}
		}},
		{"no answer from the process to which the request was sent", "one answer", func(r *Records) {
			attempt := &r.Requests[3].Attempts[0]
			attempt.Status, attempt.DialedAt = 0, attempt.SentAt-second/10
		}},
		{"a reused connection that is reset", "reused connections", func(r *Records) { r.CloseRaces = []CloseRace{{IsReset: true}} }},
		{"one reused connection that ends cleanly during a request", "", func(r *Records) { r.CloseRaces = []CloseRace{{}} }},
		{"several reused connections that end cleanly during a request", "reused connections", func(r *Records) { r.CloseRaces = []CloseRace{{}, {}} }},
		{"a process that runs past the time of SIGKILL", "shutdown", func(r *Records) { r.Lifetimes[1][0].TermSentAt = 5 * second }},
		{"an exit with an error", "shutdown", func(r *Records) {
			r.Lifetimes[1][0].TermSentAt, r.Lifetimes[1][0].ExitError = 8*second, "exit status 2"
		}},
		{"an exit with an error of a process that was killed", "", func(r *Records) {
			r.Lifetimes[1][0].TermSentAt, r.Lifetimes[1][0].ExitError, r.Lifetimes[1][0].WasKilled = 2*second, "killed", true
		}},
		{"a connection refused at once after SIGTERM", "shutdown", func(r *Records) {
			r.Lifetimes[1][0].TermSentAt = 8 * second
			r.Requests[3].Attempts[0] = Attempt{Agent: 1, SentAt: -1, EndedAt: 8*second + second/10, WasUnreachable: true, Err: "connection refused"}
		}},
		{"an attempt for a client that disconnected", "nothing after disconnect", func(r *Records) {
			r.Requests[3].Attempts[0].ID, r.Requests[3].Attempts[0].HasDisconnected = "y", true
		}},
		{"contrary votes", "no contrary votes", func(r *Records) { r.Votes[1].At = 6 * second }},
		{"an agent's vote to advance after its own vote to roll back", "no contrary votes", func(r *Records) {
			r.Votes = []Vote{{3 * second, 0, 8, 0, "back"}, {4 * second, 0, 8, 0, "on"}}
		}},
		{"an agent's vote to roll back after its own vote to advance", "", func(r *Records) { r.Votes[1].At, r.Votes[1].Agent = 6*second, 0 }},
		{"contrary votes where each agent votes for itself", "", func(r *Records) { r.Votes[1].At, r.HasElection = 6*second, false }},
	} {
		r := validRecords()
		c.change(r)
		found := CheckRules(r)
		if (c.rule == "") != (len(found) == 0) || c.rule != "" && found[0].Rule != c.rule {
			t.Errorf("%s: got the violations %v, want the rule %q (empty: none)", c.what, found, c.rule)
		}
	}
	r := validRecords()
	if findSharedClaim(r.claims(), "vote", timeRange{0, r.End}) != "" {
		t.Error("valid records: found two agents that hold the vote at the same time, want none")
	}
	if r.Votes[1].At = 6 * second; findSharedClaim(r.claims(), "vote", timeRange{0, 6 * second}) != "" || !strings.Contains(findSharedClaim(r.claims(), "vote", timeRange{0, r.End}), "agents 0 and 1") {
		t.Error("votes of agents 0 and 1 that count at the same time from 6 s on: not found, or found before 6 s")
	}
}
