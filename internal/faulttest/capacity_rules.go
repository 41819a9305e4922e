package faulttest

import (
	"fmt"
	"math"
	"slices"
	"time"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

const (
	// slowStartDeviations is the number of standard deviations by which the number of arrivals may exceed the limit by chance.
	slowStartDeviations = 3
	// capDelay, capAllowance and capTolerance are defined by the protocol. A lower cap takes effect once fakes.DrainGrace plus capDelay have
	// passed since the agent was notified. An agent may send the build fakes.CapAllowance plus capAllowance attempts, and in addition
	// the share cap plus capTolerance of the requests that it received.
	capDelay     = 150 * time.Millisecond
	capAllowance = 2
	capTolerance = 0.04
	// receivedSlack extends the window of received requests to earlier times. A client writes a request before the agent reads it, so a
	// request that was written up to receivedSlack before the window may still count in the agent's window.
	receivedSlack = 250 * time.Millisecond
	// unannouncedCap is the cap of a build with a higher number than the build in the rollout state. It equals the cap of a rollout's first
	// stage.
	unannouncedCap = 0.2
	// uncapped is the share at which a cap no longer limits anything.
	uncapped = 1.0
)

// countUntil returns how many of the sorted times are not later than at.
func countUntil(times []netfault.Micros, at netfault.Micros) int {
	n, _ := slices.BinarySearch(times, at+1)
	return n
}

// countWithin returns how many of the sorted times are later than from and not later than to.
func countWithin(times []netfault.Micros, from, to netfault.Micros) int {
	return countUntil(times, to) - countUntil(times, from)
}

// checkSlowStart checks that in any window of fakes.OverloadAfter, all agents together send an endpoint that has just started at most
// fakes.OverloadMultiple times its capacity. The capacity in a window is the number of requests that the endpoint's slots can serve at the
// endpoint's mean speed in the window.
func checkSlowStart(r *Records) (out []Violation) {
	window := fakes.OverloadAfter.Microseconds()
	arrivals := r.slowStartArrivals()
	for endpoint, started := range r.EndpointStarts {
		times := arrivals[endpoint]
		slices.Sort(times)
		for _, at := range times {
			count := countWithin(times, at-window, at)
			speedThen, speedNow := speedAtAge(at-window-started), speedAtAge(at-started)
			meanSpeed := (speedThen + speedNow) / 2 // the speed rises linearly
			capacity := meanSpeed * float64(window) * float64(r.Slots) / float64(r.ServiceTime)
			limit := fakes.OverloadMultiple * capacity
			if float64(count) > limit+slowStartDeviations*math.Sqrt(limit) {
				out = append(out, Violation{ruleSlowStart, at, fmt.Sprintf("endpoint %d, %.3f s old, was sent %d requests in %v; it can do %.1f, and bears %.1f",
					endpoint, seconds(at-started), count, fakes.OverloadAfter, capacity, limit)})
				break
			}
		}
	}
	return out
}

// speedAtAge returns the speed of an endpoint of this age, as a share of its full speed.
func speedAtAge(age netfault.Micros) float64 {
	reached := float64(max(0, age)) / float64(fakes.SlowStartDuration.Microseconds())
	return min(1, fakes.InitialCapacity+(1-fakes.InitialCapacity)*reached)
}

// slowStartArrivals returns the times of the arrivals at each endpoint during its slow start, and for OverloadAfter beyond it.
func (r *Records) slowStartArrivals() map[int][]netfault.Micros {
	period := (fakes.SlowStartDuration + fakes.OverloadAfter).Microseconds()
	times := map[int][]netfault.Micros{}
	for _, a := range r.Arrivals {
		if a.Endpoint >= len(r.EndpointStarts) {
			continue
		}
		started := r.EndpointStarts[a.Endpoint]
		if started >= 0 && a.At < started+period {
			times[a.Endpoint] = append(times[a.Endpoint], a.At)
		}
	}
	return times
}

// checkExposureCap counts the attempts that each agent sends to a build that is being rolled out. In any window of
// fakes.CapWindow, the count must not exceed the permitted allowance plus the cap's share of the requests that the agent received. A lower
// cap takes effect after capGrace, and the count then restarts. A released build has no cap.
func checkExposureCap(r *Records) (out []Violation) {
	for agent := range r.Agents {
		received := r.receivedTimes(agent)
		for build, attempts := range r.attemptTimes(agent) {
			window := exposureWindow{agent: agent, build: build, attempts: attempts, received: received, caps: r.capHistory(agent, build)}
			for _, at := range attempts {
				if v, isViolated := window.check(at); isViolated {
					out = append(out, v)
				}
			}
		}
	}
	return out
}

// receivedTimes returns the sorted times at which clients sent requests to an agent.
func (r *Records) receivedTimes(agent int) (times []netfault.Micros) {
	for _, request := range r.Requests {
		for _, attempt := range request.Attempts {
			if attempt.Agent == agent && attempt.SentAt >= 0 {
				times = append(times, attempt.SentAt)
			}
		}
	}
	slices.Sort(times)
	return times
}

// attemptTimes returns the sorted times at which an agent sent requests to endpoints, by the endpoints' build.
func (r *Records) attemptTimes(agent int) map[int][]netfault.Micros {
	times := map[int][]netfault.Micros{}
	for i, a := range r.Arrivals {
		if a.Agent == agent && r.SentAt[i] >= 0 {
			times[a.Build] = append(times[a.Build], r.SentAt[i])
		}
	}
	for _, t := range times {
		slices.Sort(t)
	}
	return times
}

// capChange is a cap of a build, and when an agent was notified of it.
type capChange struct {
	at  netfault.Micros
	cap float64
}

// capHistory returns the caps of a build that an agent was notified of, ordered by time.
func (r *Records) capHistory(agent, build int) (out []capChange) {
	newest := -1
	for _, receipt := range r.ReceivedStages[agent] {
		if receipt.Version < newest {
			continue
		}
		newest = receipt.Version
		limit := r.Stages[newest].capOf(build)
		if n := len(out); n == 0 || out[n-1].cap != limit {
			out = append(out, capChange{receipt.At, limit})
		}
	}
	return out
}

// capOf returns the share of requests that a build may receive in this state of the rollout.
func (s Stage) capOf(build int) float64 {
	switch {
	case build > s.Build:
		return unannouncedCap
	case build == s.Build && s.Phase != phaseLive:
		return s.Cap
	default:
		return uncapped
	}
}

// exposureWindow compares the attempts that one agent sent to one build with the caps that the agent knew.
type exposureWindow struct {
	agent, build       int
	attempts, received []netfault.Micros // sorted
	caps               []capChange
}

// check checks the window that ends with the attempt that was sent at the time at.
func (w *exposureWindow) check(at netfault.Micros) (v Violation, isViolated bool) {
	if w.capAt(at) >= uncapped {
		return v, false
	}
	from := w.countStart(at)
	highest := w.highestCap(from, at)
	if highest >= uncapped {
		return v, false
	}
	sent := countWithin(w.attempts, from, at)
	received := countWithin(w.received, at-fakes.CapWindow.Microseconds()-receivedSlack.Microseconds(), at)
	limit := float64(fakes.CapAllowance+capAllowance) + (highest+capTolerance)*float64(received)
	if float64(sent) <= limit {
		return v, false
	}
	return Violation{ruleExposureCap, at, fmt.Sprintf("agent %d sent %d requests to build %d in %.3f s, under a cap of %g, having taken %d: at most %.1f",
		w.agent, sent, w.build, seconds(at-from), highest, received, limit)}, true
}

// capAt returns the newest cap that the agent knew at the time at, or uncapped if the agent knew none.
func (w *exposureWindow) capAt(at netfault.Micros) float64 {
	limit := uncapped
	for _, c := range w.caps {
		if c.at > at {
			break
		}
		limit = c.cap
	}
	return limit
}

// capGrace returns the time from the notification of a lower cap until the cap takes effect.
func capGrace() netfault.Micros { return (fakes.DrainGrace + capDelay).Microseconds() }

// countStart returns when the count that ends at the time at begins: fakes.CapWindow earlier, or when a lower cap took effect, if later.
func (w *exposureWindow) countStart(at netfault.Micros) netfault.Micros {
	from := at - fakes.CapWindow.Microseconds()
	for i, c := range w.caps {
		binds := c.at + capGrace()
		if i > 0 && c.cap < w.caps[i-1].cap && binds <= at && binds > from {
			from = binds
		}
	}
	return from
}

// highestCap returns the highest cap that was in force within a window, or within the grace period before it.
func (w *exposureWindow) highestCap(from, at netfault.Micros) float64 {
	highest := w.capAt(at)
	for i, c := range w.caps {
		until := at
		if i+1 < len(w.caps) {
			next := w.caps[i+1]
			until = next.at
			if next.cap < c.cap {
				until += capGrace()
			}
		}
		if c.at <= at && until > from {
			highest = max(highest, c.cap)
		}
	}
	return highest
}
