package faulttest

import (
	"fmt"
	"strings"

	"switchfork/internal/faulttest/netfault"
)

// checkReusedConnections checks that no connection is reset while its client reuses it for another request, and that no more than
// maxCleanCloseRaces connections are closed cleanly at such a moment.
func checkReusedConnections(r *Records) (out []Violation) {
	for i, race := range r.CloseRaces {
		if race.IsReset || i >= maxCleanCloseRaces {
			out = append(out, Violation{
				ruleReusedConnections, race.At,
				fmt.Sprintf("agent %d ended a reused connection under %s: %s", race.Agent, race.ID, race.Err),
			})
		}
	}
	return out
}

// checkShutdown checks that a process that was sent SIGTERM does not refuse new connections within acceptAfterTerm, and that it exits with
// status 0 within killDelay, after which it would be killed.
func checkShutdown(r *Records) (out []Violation) {
	for agent, lifetimes := range r.Lifetimes {
		for _, process := range lifetimes {
			out = append(out, r.checkProcessEnd(agent, process)...)
		}
	}
	for _, request := range r.Requests {
		for _, attempt := range request.Attempts {
			if process := r.lifetimeAt(attempt.Agent, attempt.EndedAt); process != nil && process.refusedTooEarly(attempt) {
				out = append(out, Violation{ruleShutdown, attempt.EndedAt, fmt.Sprintf("agent %d refused a connection %.3f s after SIGTERM: %s",
					attempt.Agent, seconds(attempt.EndedAt-process.TermSentAt), attempt.Err)})
			}
		}
	}
	return out
}

func (r *Records) checkProcessEnd(agent int, process ProcessLifetime) (out []Violation) {
	if process.TermSentAt < 0 || process.WasKilled {
		return nil
	}
	if process.ExitError != "" {
		out = append(out, Violation{ruleShutdown, process.End, fmt.Sprintf("agent %d ended with %s", agent, process.ExitError)})
	}
	end := process.End
	if end < 0 {
		end = r.End
	}
	if took := end - process.TermSentAt; took > killDelay.Microseconds() && !process.wasPaused(process.TermSentAt, end) {
		out = append(out, Violation{ruleShutdown, end, fmt.Sprintf("agent %d ran %.3f s after SIGTERM, SIGKILL is due after %v", agent, seconds(took), killDelay)})
	}
	return out
}

// refusedTooEarly reports whether an attempt was refused a connection within acceptAfterTerm of SIGTERM, while new connections still arrive.
func (l *ProcessLifetime) refusedTooEarly(a Attempt) bool {
	since := a.EndedAt - l.TermSentAt
	isEarly := l.TermSentAt >= 0 && since >= 0 && since <= acceptAfterTerm.Microseconds()
	return isEarly && a.WasUnreachable && strings.Contains(a.Err, "refused")
}

// checkNothingAfterDisconnect checks that agents send endpoints nothing for a client that disconnected more than disconnectSlack before.
func checkNothingAfterDisconnect(r *Records) (out []Violation) {
	disconnectedAt := map[string]netfault.Micros{}
	for _, request := range r.Requests {
		for _, attempt := range request.Attempts {
			if attempt.HasDisconnected {
				disconnectedAt[attempt.ID] = attempt.EndedAt
			}
		}
	}
	for i, arrival := range r.Arrivals {
		disconnected, hasDisconnected := disconnectedAt[arrival.ID]
		sent := r.SentAt[i]
		if !hasDisconnected || sent <= disconnected+disconnectSlack.Microseconds() {
			continue
		}
		process := r.lifetimeAt(arrival.Agent, sent)
		if process != nil && !process.wasPaused(disconnected, sent) {
			out = append(out, Violation{ruleNothingAfterDisconnect, sent, fmt.Sprintf("agent %d sent %s to endpoint %d %.3f s after its client had disconnected",
				arrival.Agent, arrival.ID, arrival.Endpoint, seconds(sent-disconnected))})
		}
	}
	return out
}
