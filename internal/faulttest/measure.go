package faulttest

import (
	"fmt"
	"slices"

	"switchfork/internal/faulttest/netfault"
)

// timeRange is a part of a run; to is excluded.
type timeRange struct{ from, to netfault.Micros }

func (r timeRange) contains(at netfault.Micros) bool { return at >= r.from && at < r.to }

// agentFilter reports whether an agent is selected.
type agentFilter func(agent int) bool

// measurement is the value of a measure. If there was nothing to measure, hasValue is false and the description gives the reason.
type measurement struct {
	value       float64
	description string
	hasValue    bool
}

func counted(n int, what string) measurement {
	return measurement{float64(n), fmt.Sprintf("%d %s", n, what), true}
}

func notMeasured(why string) measurement { return measurement{description: why} }

// query is a measure with the agents and the part of the run over which it is evaluated.
type query struct {
	Measure
	records *Records
	agents  agentFilter
	in      timeRange
}

// evaluators compute measures from the records. Measures without an entry query the agents, see agentCounters and fewestMembers.
var evaluators = map[string]func(query) measurement{
	measureSucceeded:    func(q query) measurement { return q.requestShare(hasOutcome(outcomeSucceeded)) },
	measureRejected:     func(q query) measurement { return q.requestShare(hasOutcome(outcomeRejected)) },
	measureFailed:       func(q query) measurement { return q.requestShare(hasOutcome(outcomeFailed)) },
	measureInTime:       func(q query) measurement { return q.requestShare(func(r Request) bool { return r.MetObjective }) },
	measureOffered:      func(q query) measurement { return counted(len(q.requests()), "requests offered") },
	measureMedian:       func(q query) measurement { return q.latencyPercentile(50) },
	measure99Percentile: func(q query) measurement { return q.latencyPercentile(99) },
	measureVotes:        query.votes,
	measureArrivals:     func(q query) measurement { return counted(len(q.arrivals()), measureArrivals) },
	measureDuplicates:   query.duplicates,
	measureBusiest:      query.busiest,
	measureCalls:        query.calls,
	measureDatagrams:    query.datagrams,
	measureAlive:        query.alive,
}

// measure evaluates a measure for some agents over a part of the run.
func (r *Records) measure(m Measure, agents agentFilter, in timeRange) measurement {
	evaluate, isKnown := evaluators[m.Name]
	if !isKnown {
		return notMeasured("not measured")
	}
	return evaluate(query{m, r, agents, in})
}

// requests returns the requests of the class that arrived in the range at the selected agents.
func (q query) requests() (out []Request) {
	for _, request := range q.records.Requests {
		if q.in.contains(request.ArrivedAt) && q.agents(request.Agent) && request.isOfClass(q.Class) {
			out = append(out, request)
		}
	}
	return out
}

func hasOutcome(outcome string) func(Request) bool {
	return func(r Request) bool { return r.Outcome == outcome }
}

// requestShare returns the share of the requests for which a condition holds.
func (q query) requestShare(holds func(Request) bool) measurement {
	requests := q.requests()
	if len(requests) == 0 {
		return notMeasured("no request was offered")
	}
	n := 0
	for _, request := range requests {
		if holds(request) {
			n++
		}
	}
	share := float64(n) / float64(len(requests))
	return measurement{share, fmt.Sprintf("%.4f (%d of %d requests)", share, n, len(requests)), true}
}

// latencyPercentile returns a percentile, in milliseconds, of the time from a request's arrival to the last byte of its answer. Only
// requests that succeeded count.
func (q query) latencyPercentile(percent int) measurement {
	var latencies []float64
	for _, request := range q.requests() {
		if request.Outcome == outcomeSucceeded {
			latencies = append(latencies, float64(request.lastAttempt().EndedAt-request.ArrivedAt)/1000)
		}
	}
	if len(latencies) == 0 {
		return notMeasured("no request succeeded")
	}
	slices.Sort(latencies)
	latency := latencies[len(latencies)*percent/100]
	return measurement{latency, fmt.Sprintf("%.3f ms (of %d answers)", latency, len(latencies)), true}
}

func (q query) votes() measurement {
	n := 0
	for _, v := range q.records.Votes {
		isOfBuild := q.Build == 0 || q.Build == v.Build
		if v.Recommendation == q.Arg && q.in.contains(v.At) && q.agents(v.Agent) && isOfBuild {
			n++
		}
	}
	return counted(n, "votes")
}

// arrivals returns the arrivals in the range from the selected agents at the selected endpoints. An arrival that came through no relay
// counts for every agent.
func (q query) arrivals() (out []Arrival) {
	for _, a := range q.records.Arrivals {
		isOfAgents := a.Agent < 0 || q.agents(a.Agent)
		if q.in.contains(a.At) && isOfAgents && q.Endpoints.contains(a.Endpoint, a.Build) {
			out = append(out, a)
		}
	}
	return out
}

// duplicates counts the arrivals that endpoints dropped as duplicates.
func (q query) duplicates() measurement {
	n := 0
	for _, a := range q.arrivals() {
		if a.WasDeduplicated {
			n++
		}
	}
	return counted(n, measureDuplicates)
}

// busiest returns the number of arrivals at the busiest endpoint, as a multiple of the mean number per endpoint.
func (q query) busiest() measurement {
	arrivals := q.arrivals()
	if len(arrivals) == 0 {
		return notMeasured("no request arrived")
	}
	byEndpoint := map[int]int{}
	most := 0
	for _, a := range arrivals {
		byEndpoint[a.Endpoint]++
		most = max(most, byEndpoint[a.Endpoint])
	}
	endpoints := len(byEndpoint)
	if q.Endpoints != nil && len(q.Endpoints.Numbers) > 0 {
		endpoints = len(q.Endpoints.Numbers)
	}
	ratio := float64(most) * float64(endpoints) / float64(len(arrivals))
	return measurement{ratio, fmt.Sprintf("%.3f times the mean (%d requests at %d endpoints)", ratio, len(arrivals), endpoints), true}
}

func (q query) calls() measurement {
	n := 0
	for _, c := range q.records.Calls[callsKey(q.Arg)] {
		if q.in.contains(c.At) && q.agents(c.Agent) {
			n++
		}
	}
	return counted(n, "calls")
}

func (q query) datagrams() measurement {
	n := 0
	for agent, delivered := range q.records.Datagrams {
		if q.agents(agent) {
			n += int(delivered)
		}
	}
	return counted(n, "datagrams delivered")
}

// alive counts the processes that are running at the end of the range.
func (q query) alive() measurement {
	n := 0
	for agent := range q.records.Lifetimes {
		if q.agents(agent) && q.records.lifetimeAt(agent, q.in.to-1) != nil {
			n++
		}
	}
	return counted(n, "processes")
}

// contains reports whether an endpoint of a build belongs to the set. The nil set contains all endpoints.
func (s *EndpointSet) contains(endpoint, build int) bool {
	if s == nil {
		return true
	}
	matchesBuild := s.Build == 0 || s.Build == build
	matchesNumber := len(s.Numbers) == 0 || slices.Contains(s.Numbers, endpoint)
	return matchesBuild && matchesNumber
}

func (c comparison) holds(value float64) bool {
	switch c.operator {
	case ">=":
		return value >= c.value
	case "<=":
		return value <= c.value
	case ">":
		return value > c.value
	case "<":
		return value < c.value
	default:
		return value == c.value
	}
}

// evaluate checks an expectation against the records.
func (e Expectation) evaluate(r *Records, agents agentFilter, in timeRange) (passed bool, observed string) {
	if e.ExclusiveClaim != "" {
		found := findSharedClaim(r.claims(), e.ExclusiveClaim, in)
		return found == "", found
	}
	ranges := e.windows(in)
	if len(ranges) == 0 {
		return false, fmt.Sprintf("no window of %v fits between %.3f and %.3f s", e.Window, seconds(in.from), seconds(in.to))
	}
	for _, window := range ranges {
		measured := r.measure(e.measure, agents, window)
		observed = fmt.Sprintf("%s from %.3f to %.3f s", measured.description, seconds(window.from), seconds(window.to))
		if !measured.hasValue || !e.holds(measured.value) {
			return false, observed
		}
	}
	return true, observed
}

// windows returns the parts of a range in each of which the expectation has to hold.
func (e Expectation) windows(in timeRange) (out []timeRange) {
	if e.Window <= 0 {
		return []timeRange{in}
	}
	length := toMicros(e.Window)
	for at := in.from; at+length <= in.to; at += length {
		out = append(out, timeRange{at, at + length})
	}
	return out
}
