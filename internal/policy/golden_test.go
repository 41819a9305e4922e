package policy

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"switchfork/internal/golden"
)

// goldenDeployment is one set of settings with which a router processes a random stream of events.
type goldenDeployment struct {
	name          string
	classes       []RequestClass
	instance      Instance
	plan          RolloutPlan
	votingRules   VotingRules
	exposureLimit ExposureLimit
	capabilities  Capabilities
}

func goldenDeployments() []goldenDeployment {
	idempotent := RequestClass{Idempotency: Idempotent, LatencyObjective: 100 * millisecond, Timeout: 400 * millisecond, PriorityWeight: 1}
	keyed := RequestClass{Idempotency: Keyed, DedupWindow: 500 * millisecond, LatencyObjective: 200 * millisecond, Timeout: 900 * millisecond, PriorityWeight: 5, LateWeightShare: 0.3}
	zoned := RequestClass{Idempotency: Keyed, DedupScope: DedupZone, DedupWindow: 300 * millisecond, LatencyObjective: 150 * millisecond, Timeout: 700 * millisecond, PriorityWeight: 3}
	nonIdempotent := RequestClass{Idempotency: NonIdempotent, LatencyObjective: 300 * millisecond, Timeout: 1200 * millisecond, PriorityWeight: 9}
	cell := RequestClass{Idempotency: Keyed, DedupScope: DedupCell, DedupWindow: 800 * millisecond, LatencyObjective: 250 * millisecond, Timeout: 1000 * millisecond, PriorityWeight: 2}
	caps := []float64{0.05, 0.3, 1}
	all := []RequestClass{idempotent, keyed, zoned, nonIdempotent, cell}
	votes := VotingRules{Rule: AnyVote, VoteLifetime: 4 * second, CallTimeout: 800 * millisecond, CallsPerSecond: 20, VotesToAdvance: 1, VotesToRollback: 1}
	share, timed := votes, votes
	share.Rule, share.VotesToAdvance, share.VotesToRollback, share.MetricsInterval = VoteShare, 4, 3, 1*second
	timed.Rule = TimedStages
	window := ExposureLimit{Window: 4 * second, Allowance: 3}
	byClass := ExposureLimit{Window: 2 * second, Allowance: 1, PerClass: true}
	return []goldenDeployment{
		{"alone", all, Instance{Agents: 1, HasWeights: true}, RolloutPlan{Caps: caps, GuardedStages: 1}, votes, window, Capabilities{HealthChecks: true}},
		{"three", all, Instance{Index: 1, Agents: 3, Zone: 1, KeyAffinity: true, HasWeights: true}, RolloutPlan{Caps: caps, KeysNeverGoBack: true}, votes, byClass, Capabilities{Gossip: true}},
		{"evaluator", all, Instance{Agents: 40, KeyAffinity: true, LoadReport: LoadReportFormat{Utilization: 1, Rate: 2, InFlight: 3}}, RolloutPlan{Caps: caps, GuardedStages: 2, ReplacesInPlace: true}, votes, window, Capabilities{HealthChecks: true, Gossip: true, PollsEndpoints: true}},
		{"observer", all, Instance{Agents: 40, LoadReport: LoadReportFormat{Utilization: 1, Rate: 2, InFlight: 3}}, RolloutPlan{Caps: caps, KeysNeverGoBack: true}, votes, window, Capabilities{HealthChecks: true, Gossip: true}},
		{"counted", all, Instance{Index: 7, Agents: 60, HasWeights: true}, RolloutPlan{Caps: caps}, share, window, Capabilities{PollsEndpoints: true}},
		{"timed", []RequestClass{idempotent, keyed}, Instance{Index: 2, Agents: 5, HasWeights: true}, RolloutPlan{Caps: caps}, timed, window, Capabilities{Gossip: true, HealthChecks: true}},
		{"large", []RequestClass{idempotent, nonIdempotent}, Instance{Index: 2, Agents: 12, HasWeights: true}, RolloutPlan{Caps: []float64{0.2, 1}}, votes, window, Capabilities{HealthChecks: true}},
	}
}

// goldenStream generates random events that are consistent with the commands that the router has returned so far.
type goldenStream struct {
	random       *rand.Rand
	deployment   goldenDeployment
	router       Router
	digest       *golden.Digest
	commandCount int
	now          Micros
	nextID       uint64
	inFlight     []SendAttempt
	healthChecks []CheckHealth
	timers       []Micros
	endpoints    map[uint32]Endpoint
	endpointIDs  []uint32
	build        int
	stage        int
}

// goldenEvents is the number of events in a stream. It is enough for releases to begin, be voted on and be rolled back several
// times.
const goldenEvents = 12000

func newGoldenStream(deployment goldenDeployment, seed int64) *goldenStream {
	instance := deployment.instance
	instance.Seed = seed
	switch deployment.name {
	case "evaluator":
		instance.Index = selectAgents(instance.Agents, evaluatorCount)[0]
	case "observer":
		instance.Index = selectAgents(instance.Agents, instance.Agents)[evaluatorCount]
	}
	s := &goldenStream{
		random:     rand.New(rand.NewSource(seed)),
		deployment: deployment,
		now:        1000 * second,
		build:      2,
		endpoints:  map[uint32]Endpoint{},
		digest: golden.NewDigest(
			SendAttempt{}, CancelAttempt{}, Reject{}, Fail{}, SetTimer{}, CheckHealth{}, SendGossip{}, WatchEndpoints{}, Vote{}, LogMessage{},
		),
	}
	endpointCount := 9
	if deployment.name == "large" {
		endpointCount = 60
	}
	for id := range endpointCount {
		s.endpointIDs = append(s.endpointIDs, uint32(101+id*7))
	}
	s.router = New(Config{
		Instance:      instance,
		Classes:       deployment.classes,
		RolloutPlan:   deployment.plan,
		VotingRules:   deployment.votingRules,
		ExposureLimit: deployment.exposureLimit,
		SlowStart: SlowStart{
			InitialCapacity: 0.3, Duration: 3 * second, OverloadMultiple: 2, OverloadAfter: 500 * millisecond,
		},
		RetryLimits:  RetryLimits{MaxAttempts: 3, MaxRetryAfter: 2 * second},
		Capabilities: deployment.capabilities,
		CostWeights:  CostWeights{CrossZone: 0.05},
	})
	return s
}

func (s *goldenStream) run() {
	s.updateEndpoints(true)
	s.handle(RolloutUpdate{Build: 2, Cap: s.deployment.plan.Caps[0]})
	for range goldenEvents {
		s.now += s.randomBelow(6 * millisecond)
		s.fireTimers()
		s.randomEvent()
	}
}

func (s *goldenStream) handle(event Event) {
	for _, command := range s.router.Handle(s.now, event) {
		s.commandCount++
		s.digest.Add(command)
		switch command := command.(type) {
		case SendAttempt:
			s.inFlight = append(s.inFlight, command)
		case CheckHealth:
			s.healthChecks = append(s.healthChecks, command)
		case SetTimer:
			s.timers = append(s.timers, command.At)
		}
	}
}

// oneIn returns true with a probability of 1/count.
func (s *goldenStream) oneIn(count int) bool { return s.random.Intn(count) == 0 }

func (s *goldenStream) randomBelow(limit Micros) Micros { return s.random.Int63n(limit) }

func (s *goldenStream) randomEndpoint(id uint32) Endpoint {
	endpoint := Endpoint{ID: id, Build: 1, Zone: int(id) % 3, State: Ready, Cell: int(id) % 5, Weight: 0.5 + float64(id%4)/2}
	if s.oneIn(3) {
		endpoint.Build = s.build
	}
	if s.oneIn(4) {
		endpoint.Started = s.now - s.randomBelow(4*second)
	}
	if s.oneIn(12) {
		endpoint.State = []EndpointState{Draining, Gone}[s.random.Intn(2)]
	}
	return endpoint
}

func (s *goldenStream) updateEndpoints(isFull bool) {
	update := EndpointUpdate{Full: isFull}
	for _, id := range s.endpointIDs {
		if isFull || s.oneIn(len(s.endpointIDs)) {
			s.endpoints[id] = s.randomEndpoint(id)
			update.Endpoints = append(update.Endpoints, s.endpoints[id])
		}
	}
	s.handle(update)
}

// fireTimers fires the timers that are due, the earliest first.
func (s *goldenStream) fireTimers() {
	for len(s.timers) > 0 {
		earliest := 0
		for i, at := range s.timers {
			if at < s.timers[earliest] {
				earliest = i
			}
		}
		if s.timers[earliest] > s.now {
			return
		}
		s.timers = append(s.timers[:earliest], s.timers[earliest+1:]...)
		s.handle(TimerFired{})
	}
}

func (s *goldenStream) randomLoad() []float32 {
	if s.oneIn(3) {
		return nil
	}
	return []float32{s.random.Float32(), s.random.Float32() * 100, float32(s.random.Intn(9))}
}

// randomGossip returns random bytes or, more often, random records.
func (s *goldenStream) randomGossip() []byte {
	if s.oneIn(8) {
		payload := make([]byte, []int{digestBytes, 7, 25}[s.random.Intn(3)])
		s.random.Read(payload)
		return payload
	}
	var payload []byte
	for range 1 + s.random.Intn(12) {
		payload = s.appendRandomRecord(payload)
	}
	return payload
}

func (s *goldenStream) appendRandomRecord(payload []byte) []byte {
	endpoint := s.endpoints[s.endpointIDs[s.random.Intn(len(s.endpointIDs))]]
	record := gossipRecord{
		endpointID: endpoint.ID,
		build:      endpoint.Build,
		kind:       recordKind(s.random.Intn(9)),
		elapsed:    s.randomBelow(400 * millisecond),
		class:      s.random.Intn(len(s.deployment.classes)),
		inFlight:   float64(s.random.Intn(6)) - 1,
	}
	switch s.random.Intn(10) {
	case 0:
		record.kind = rejectionKind
	case 1:
		record.kind = attemptKind
	case 2:
		payload = append(payload, encodeVerdict(s.build, s.stage, Verdict(s.random.Intn(4)))...)
		return append(payload, make([]byte, (recordBytes-len(payload)%recordBytes)%recordBytes)...)
	}
	return record.appendTo(payload)
}

func (s *goldenStream) randomOutcome() Outcome {
	if !s.oneIn(4) {
		return OK
	}
	return Outcome(s.random.Intn(9))
}

func (s *goldenStream) randomEvent() {
	switch n := s.random.Intn(100); {
	case n < 42:
		s.requestArrives()
	case n < 82:
		s.attemptEnds()
	case n < 84:
		if s.nextID > 0 {
			s.handle(RequestCancelled{RequestID: 1 + uint64(s.random.Int63n(int64(s.nextID)))})
		}
	case n < 86:
		s.updateEndpoints(s.oneIn(6))
	case n < 88:
		s.healthCheckEnds()
	case n < 93:
		s.handle(GossipReceived{From: s.random.Intn(s.deployment.instance.Agents), Payload: s.randomGossip()})
	case n < 94:
		s.updateRollout()
	case n < 96:
		requests := 1 + s.random.Intn(200)
		s.handle(MetricsReport{
			Build: s.build - s.random.Intn(2), Class: s.random.Intn(len(s.deployment.classes)),
			Requests: requests, Failures: s.random.Intn(requests), MeanLatency: s.randomBelow(200 * millisecond),
		})
	case n < 97:
		s.handle(ErrorReport{EndpointID: s.endpointIDs[s.random.Intn(len(s.endpointIDs))]})
	case n < 98:
		s.handle(EndpointUpdate{Failed: true})
	default:
		s.now += s.randomBelow(200 * millisecond)
	}
}

func (s *goldenStream) requestArrives() {
	s.nextID++
	class := s.random.Intn(len(s.deployment.classes))
	arrived := RequestArrived{
		ID: s.nextID, Class: class, Tenant: s.random.Intn(4),
		Deadline: s.now + s.deployment.classes[class].Timeout, IsRetry: s.oneIn(6),
	}
	if s.oneIn(2) {
		arrived.Key = uint64(1 + s.random.Intn(50))
	}
	if s.oneIn(3) {
		arrived.CostHint = s.randomBelow(60 * millisecond)
	}
	if s.oneIn(5) {
		arrived.ArrivedAt = s.now - s.randomBelow(50*millisecond)
	}
	s.handle(arrived)
}

func (s *goldenStream) attemptEnds() {
	if len(s.inFlight) == 0 {
		return
	}
	i := s.random.Intn(len(s.inFlight))
	attempt := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	outcome := s.randomOutcome()
	if s.endpoints[attempt.EndpointID].Build == s.build && s.oneIn(4) {
		outcome = ServerError
	}
	s.handle(AttemptResult{
		RequestID: attempt.RequestID, EndpointID: attempt.EndpointID, Outcome: outcome,
		Elapsed: s.randomBelow(150 * millisecond), RequestDone: outcome == OK, Load: s.randomLoad(),
	})
}

func (s *goldenStream) healthCheckEnds() {
	if len(s.healthChecks) == 0 {
		return
	}
	check := s.healthChecks[0]
	s.healthChecks = s.healthChecks[1:]
	s.handle(HealthCheckResult{
		EndpointID: check.EndpointID, Outcome: s.randomOutcome(), Elapsed: millisecond, Load: s.randomLoad(),
	})
}

func (s *goldenStream) updateRollout() {
	if s.oneIn(3) {
		s.stage = s.random.Intn(len(s.deployment.plan.Caps))
		if s.oneIn(5) {
			s.build++
		}
	}
	update := RolloutUpdate{Build: s.build, Stage: s.stage, Cap: s.deployment.plan.Caps[s.stage], Age: s.randomBelow(second)}
	if s.oneIn(6) {
		update.Phase = Phase(s.random.Intn(4))
	}
	if s.oneIn(5) {
		update.IsVoteReply, update.Outcome = true, Outcome(s.random.Intn(5))
	}
	s.handle(update)
}

// TestGoldenDecisions guards against changes of behaviour in a refactoring: the same events must give the same commands as when the
// golden file was written, before the package got its present names and structure.
func TestGoldenDecisions(t *testing.T) {
	var out strings.Builder
	for _, deployment := range goldenDeployments() {
		for seed := int64(1); seed <= 3; seed++ {
			s := newGoldenStream(deployment, seed)
			s.run()
			fmt.Fprintf(&out, "%s seed %d: %d commands %s\n", deployment.name, seed, s.commandCount, s.digest)
		}
	}
	golden.Check(t, "decisions.golden", out.String())
}

// TestGoldenGossip checks that gossip is still encoded byte by byte as in the golden file.
func TestGoldenGossip(t *testing.T) {
	var out strings.Builder
	for i, record := range []gossipRecord{
		outcomeRecord(attemptOutcome{
			AttemptResult: AttemptResult{EndpointID: 0xa1b2c3d4, Outcome: OK, Elapsed: 123456},
			endpoint:      &endpointRecord{Endpoint: Endpoint{Build: 7}}, class: 2, reportedInFlight: 3,
		}),
		outcomeRecord(attemptOutcome{
			AttemptResult: AttemptResult{EndpointID: 5, Outcome: Malformed, Elapsed: 99 * second},
			endpoint:      &endpointRecord{Endpoint: Endpoint{Build: 258}}, class: 0, reportedInFlight: -1,
		}),
		rejectionRecord(),
		attemptRecord(Endpoint{ID: 77}),
	} {
		fmt.Fprintf(&out, "record %d: %x\n", i, record.appendTo(nil))
	}
	for verdict := NoVote; verdict <= Rollback; verdict++ {
		fmt.Fprintf(&out, "verdict %d: %x\n", verdict, encodeVerdict(300, 4, verdict))
	}
	for _, id := range []uint32{0, 1, 77, 0xffffffff} {
		index, bit := digestBit(id)
		fmt.Fprintf(&out, "digest bit of %d: byte %d, %08b of %d\n", id, index, bit, digestBytes)
	}
	golden.Check(t, "sheets.golden", out.String())
}
