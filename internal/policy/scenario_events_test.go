package policy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// parseOutcome returns the outcome for a word of the notation.
func parseOutcome(word string) Outcome {
	return map[string]Outcome{
		"ok": OK, "error": ServerError, "rejected": Rejected, "timeout": TimedOut, "connect-failed": ConnectFailed,
		"connection-lost": ConnectionLost, "cancelled": Cancelled, "not-attempted": NotAttempted, "malformed": Malformed,
	}[word]
}

// runEvent runs an event line. kind is the word after the time, and words are the rest of the line.
func (s *scenario) runEvent(kind string, words []string) {
	switch kind {
	case "wait":
	case "endpoints":
		s.updateEndpoints(words[0], words[1:])
	case "rollout":
		s.updateRollout(words)
	case "request":
		s.requestArrives(uint64(s.number(words[0])), parseOptions(words[1:]))
	case "requests":
		for id := s.number(words[0]); id <= s.number(words[1]); id++ {
			s.requestArrives(uint64(id), parseOptions(words[2:]))
		}
	case "result":
		s.attemptsEnd(words[0], parseOutcome(words[1]), s.duration(parseOptions(words[2:]), "elapsed", 50))
	case "cancel":
		s.handle(RequestCancelled{RequestID: uint64(s.number(words[0]))})
	case "health-check":
		s.handle(HealthCheckResult{EndpointID: uint32(s.number(words[0])), Outcome: parseOutcome(words[1])})
	case "gossip-outcome", "gossip-attempt", "gossip-digest", "gossip-verdict":
		s.receiveGossip(kind, words)
	case "metrics-report": // BUILD CLASS REQUESTS FAILURES elapsed=
		s.handle(MetricsReport{
			Build: int(s.number(words[0])), Class: int(s.number(words[1])), Requests: int(s.number(words[2])),
			Failures: int(s.number(words[3])), MeanLatency: s.duration(parseOptions(words[4:]), "elapsed", 0), Age: second,
		})
	case "error-report": // ID TIMES
		for count := s.number(words[1]); count > 0; count-- {
			s.handle(ErrorReport{EndpointID: uint32(s.number(words[0]))})
		}
	case "traffic":
		s.runTraffic(parseOptions(words))
	default:
		s.test.Fatalf("%s: unknown event %q", s.position, kind)
	}
}

// updateEndpoints sends an endpoint update. A row FIRST..LAST/BUILD/ZONE is expanded to one row per ID.
func (s *scenario) updateEndpoints(kind string, rows []string) {
	update := EndpointUpdate{Full: kind == "full", Failed: kind == "failed"}
	for _, row := range rows {
		first, rest, isRange := strings.Cut(row, "..")
		if !isRange {
			update.Endpoints = append(update.Endpoints, s.endpoint(row))
			continue
		}
		last, suffix, _ := strings.Cut(rest, "/")
		for id := s.number(first); id <= s.number(last); id++ {
			update.Endpoints = append(update.Endpoints, s.endpoint(fmt.Sprintf("%.0f/%s", id, suffix)))
		}
	}
	s.handle(update)
}

// endpoint parses ID/BUILD/ZONE, followed by - for draining or ! for gone, and by @ and the start time in milliseconds.
func (s *scenario) endpoint(row string) Endpoint {
	row, started, _ := strings.Cut(row, "@")
	endpoint := Endpoint{State: Ready, Weight: 1}
	if started != "" {
		endpoint.Started = s.milliseconds(started)
	}
	if trimmed := strings.TrimRight(row, "-!"); trimmed != row {
		endpoint.State = map[string]EndpointState{"-": Draining, "!": Gone}[row[len(trimmed):]]
		row = trimmed
	}
	fields := strings.Split(row, "/")
	endpoint.ID = uint32(s.number(fields[0]))
	endpoint.Build = int(s.number(fields[1]))
	endpoint.Zone = int(s.number(fields[2]))
	s.builds[endpoint.ID] = endpoint.Build
	return endpoint
}

// updateRollout sends the rollout update that words describe: BUILD STAGE PHASE CAP, and OUTCOME as a fifth word if the update is
// the reply to a vote.
func (s *scenario) updateRollout(words []string) {
	phases := map[string]Phase{"evaluating": Evaluating, "rolling-back": RollingBack, "released": Released, "rolled-back": RolledBack}
	update := RolloutUpdate{
		Build: int(s.number(words[0])), Stage: int(s.number(words[1])), Cap: s.number(words[3]), Phase: phases[words[2]],
	}
	if len(words) > 4 {
		update.IsVoteReply, update.Outcome = true, parseOutcome(words[4])
	}
	s.handle(update)
}

func (s *scenario) requestArrives(id uint64, given options) {
	class := s.count(given, "class", 0)
	timeout := float64(s.classes[class].Timeout / millisecond)
	s.handle(RequestArrived{
		ID: id, Class: class, Tenant: s.count(given, "tenant", 0), Key: uint64(s.option(given, "key", 0)),
		CostHint: s.duration(given, "cost", 0), Deadline: s.now + s.duration(given, "deadline", timeout),
	})
}

// attemptsEnd ends the attempts in flight of the requests in ids, which is ID or FIRST..LAST.
func (s *scenario) attemptsEnd(ids string, outcome Outcome, elapsed Micros) {
	first, last, isRange := strings.Cut(ids, "..")
	if !isRange {
		last = first
	}
	for id := s.number(first); id <= s.number(last); id++ {
		if _, isInFlight := s.endpointOf[uint64(id)]; isInFlight {
			s.attemptEnds(uint64(id), outcome, elapsed)
		}
	}
}

func (s *scenario) attemptEnds(requestID uint64, outcome Outcome, elapsed Micros) {
	endpointID := s.endpointOf[requestID]
	delete(s.endpointOf, requestID)
	s.handle(AttemptResult{
		RequestID: requestID, EndpointID: endpointID, Outcome: outcome, Elapsed: elapsed,
		RequestDone: outcome == OK, Load: s.load,
	})
}

// receiveGossip passes messages from peers to the router.
func (s *scenario) receiveGossip(kind string, words []string) {
	switch kind {
	case "gossip-outcome": // ENDPOINT OUTCOME TIMES elapsed=: outcomes of a peer's attempts
		id := uint32(s.number(words[0]))
		s.receiveRecords(s.number(words[2]), gossipRecord{
			kind:       recordKind(parseOutcome(words[1])),
			endpointID: id,
			build:      s.builds[id],
			elapsed:    s.duration(parseOptions(words), "elapsed", 50),
		})
	case "gossip-attempt": // ENDPOINT TIMES: attempts that a peer sent
		s.receiveRecords(s.number(words[1]), attemptRecord(Endpoint{ID: uint32(s.number(words[0]))}))
	case "gossip-digest": // EVALUATOR ID,ID..: the endpoints that an evaluator reports as overloaded
		payload := make([]byte, digestBytes)
		for _, id := range strings.Split(words[1], ",") {
			setDigestBit(payload, uint32(s.number(id)))
		}
		s.handle(GossipReceived{From: s.agentIndex(words[0]), Payload: payload})
	case "gossip-verdict": // EVALUATOR BUILD STAGE VERDICT: a verdict; from evaluatorCount on, EVALUATOR is an agent index
		from := s.agentIndex(words[0])
		verdict := map[string]Verdict{"none": NoVote, "advance": Advance, "rollback": Rollback, "9": 9}[words[3]]
		build, stage := byte(s.number(words[1])), byte(s.number(words[2]))
		payload := []byte{build, 0, 0, 0, stage, byte(verdict), byte(verdictKind), 0, 0, 0}
		s.handle(GossipReceived{From: from, Payload: payload})
	}
}

func (s *scenario) receiveRecords(count float64, record gossipRecord) {
	for ; count > 0; count-- {
		s.handle(GossipReceived{From: 1, Payload: record.appendTo(nil)})
	}
}

// runTraffic sends requests that are answered at once. The options are until=ms every=ms failing-build=build failing-endpoint=id
// slow-build=build slow-endpoints=id,id error-every=count keys=count tenants=count failing-tenant=tenant elapsed=ms
// rates=id:rate,.. utilization=.
func (s *scenario) runTraffic(given options) {
	eventStart := len(s.commands)
	errorEvery, keys := s.count(given, "error-every", 0), s.count(given, "keys", 0)
	tenants := s.count(given, "tenants", 1)
	end, interval := s.duration(given, "until", 0), s.duration(given, "every", 20)
	for id, i := uint64(1e6)+uint64(s.now), 1; s.now < end; id, i = id+1, i+1 {
		if keys > 0 {
			given["key"] = strconv.Itoa(1 + i%keys)
		}
		given["tenant"] = strconv.Itoa(i % tenants)
		s.requestArrives(id, given)
		s.answerAttempts(id, given, errorEvery > 0 && i%errorEvery == 0)
		s.advanceTo(s.now + interval)
	}
	s.eventStart = eventStart
}

// answerAttempts answers the attempts of a request until none is in flight.
func (s *scenario) answerAttempts(requestID uint64, given options, failsOnce bool) {
	failingBuild, failingEndpoint := s.count(given, "failing-build", -1), uint32(s.option(given, "failing-endpoint", 0))
	failsForTenant := s.count(given, "tenant", 0) == s.count(given, "failing-tenant", -1)
	slowBuild, slowEndpoints := s.count(given, "slow-build", -1), strings.Split(given["slow-endpoints"], ",")
	for id, isInFlight := s.endpointOf[requestID]; isInFlight; id, isInFlight = s.endpointOf[requestID] {
		outcome, elapsed := OK, s.duration(given, "elapsed", 20)
		if s.builds[id] == failingBuild || id == failingEndpoint || failsForTenant || failsOnce {
			outcome, failsOnce = ServerError, false
		}
		if s.builds[id] == slowBuild || slices.Contains(slowEndpoints, fmt.Sprint(id)) {
			elapsed = 1500 * millisecond
		}
		s.load = s.loadReport(id, given)
		s.attemptEnds(requestID, outcome, elapsed)
	}
}

// loadReport returns the load report of an endpoint that rates=ID:RATE,.. lists, and nil for any other endpoint.
func (s *scenario) loadReport(id uint32, given options) (load []float32) {
	for _, rate := range strings.Split(given["rates"], ",") {
		endpoint, served, isRate := strings.Cut(rate, ":")
		if isRate && id == uint32(s.number(endpoint)) {
			load = []float32{float32(s.option(given, "utilization", 0)), float32(s.number(served))}
		}
	}
	return load
}
