package policy

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"switchfork/internal/golden"
)

// goldenDeployment is one set of settings that a random stream of events is played against.
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
	votes := VotingRules{Rule: AnyVote, VoteLifetime: 4 * second, CallTimeout: 800 * millisecond, CallsPerSecond: 20, VotesToAdvance: 1, VotesToRollBack: 1}
	share, timer := votes, votes
	share.Rule, share.VotesToAdvance, share.VotesToRollBack, share.MetricsInterval = VoteShare, 4, 3, 1*second
	timer.Rule = TimedStages
	window := ExposureLimit{Window: 4 * second, Allowance: 3}
	byClass := ExposureLimit{Window: 2 * second, Allowance: 1, PerClass: true}
	return []goldenDeployment{
		{"alone", all, Instance{Agents: 1, HasWeights: true}, RolloutPlan{Caps: caps, GuardedStages: 1}, votes, window, Capabilities{HealthChecks: true}},
		{"three", all, Instance{Index: 1, Agents: 3, Zone: 1, KeyAffinity: true, HasWeights: true}, RolloutPlan{Caps: caps, KeysNeverGoBack: true}, votes, byClass, Capabilities{Gossip: true}},
		{"evaluator", all, Instance{Agents: 40, KeyAffinity: true, LoadReport: LoadReportFormat{Utilization: 1, Rate: 2, InFlight: 3}}, RolloutPlan{Caps: caps, GuardedStages: 2, ReplacesInPlace: true}, votes, window, Capabilities{HealthChecks: true, Gossip: true, EndpointPolling: true}},
		{"observer", all, Instance{Agents: 40, LoadReport: LoadReportFormat{Utilization: 1, Rate: 2, InFlight: 3}}, RolloutPlan{Caps: caps, KeysNeverGoBack: true}, votes, window, Capabilities{HealthChecks: true, Gossip: true}},
		{"counted", all, Instance{Index: 7, Agents: 60, HasWeights: true}, RolloutPlan{Caps: caps}, share, window, Capabilities{EndpointPolling: true}},
		{"timed", []RequestClass{idempotent, keyed}, Instance{Index: 2, Agents: 5, HasWeights: true}, RolloutPlan{Caps: caps}, timer, window, Capabilities{Gossip: true, HealthChecks: true}},
		{"large", []RequestClass{idempotent, nonIdempotent}, Instance{Index: 2, Agents: 12, HasWeights: true}, RolloutPlan{Caps: []float64{0.2, 1}}, votes, window, Capabilities{HealthChecks: true}},
	}
}

// goldenStream makes the random events that fit what the router has ordered so far.
type goldenStream struct {
	random         *rand.Rand
	deployment     goldenDeployment
	router         Router
	digest         *golden.Digest
	now            Micros
	nextID         uint64
	open           []SendAttempt
	healthChecks   []CheckHealth
	timers         []Micros
	endpoints      map[uint32]Endpoint
	ids            []uint32
	build          int
	stage          int
	many           int
	commandCount   int
	requestClasses map[uint64]int
}

func (s *goldenStream) handle(event Event) {
	for _, command := range s.router.Handle(s.now, event) {
		s.commandCount++
		s.digest.Add(command)
		switch command := command.(type) {
		case SendAttempt:
			s.open = append(s.open, command)
		case CheckHealth:
			s.healthChecks = append(s.healthChecks, command)
		case SetTimer:
			s.timers = append(s.timers, command.At)
		}
	}
}

func (s *goldenStream) randomEndpoint(id uint32) Endpoint {
	row := Endpoint{ID: id, Build: 1, Zone: int(id) % 3, State: Ready, Cell: int(id) % 5, Weight: 0.5 + float64(id%4)/2}
	if s.random.Intn(3) == 0 {
		row.Build = s.build
	}
	if s.random.Intn(4) == 0 {
		row.Started = s.now - Micros(s.random.Int63n(int64(4*second)))
	}
	if s.random.Intn(12) == 0 {
		row.State = []EndpointState{Draining, Gone}[s.random.Intn(2)]
	}
	return row
}

func (s *goldenStream) updateEndpoints(full bool) {
	update := EndpointUpdate{Full: full}
	for _, id := range s.ids {
		if full || s.random.Intn(len(s.ids)) == 0 {
			s.endpoints[id] = s.randomEndpoint(id)
			update.Endpoints = append(update.Endpoints, s.endpoints[id])
		}
	}
	s.handle(update)
}

func (s *goldenStream) fireTimers() {
	for len(s.timers) > 0 {
		least := 0
		for i, at := range s.timers {
			if at < s.timers[least] {
				least = i
			}
		}
		at := s.timers[least]
		if at > s.now {
			return
		}
		s.timers = append(s.timers[:least], s.timers[least+1:]...)
		s.handle(TimerFired{})
	}
}

func (s *goldenStream) randomLoad() []float32 {
	if s.random.Intn(3) == 0 {
		return nil
	}
	return []float32{s.random.Float32(), s.random.Float32() * 100, float32(s.random.Intn(9))}
}

func (s *goldenStream) randomGossip() []byte {
	if s.random.Intn(8) == 0 {
		payload := make([]byte, []int{digestBytes, 7, 25}[s.random.Intn(3)])
		s.random.Read(payload)
		return payload
	}
	var payload []byte
	for range 1 + s.random.Intn(12) {
		row := s.endpoints[s.ids[s.random.Intn(len(s.ids))]]
		outcome := attemptOutcome{
			AttemptResult: AttemptResult{EndpointID: row.ID, Outcome: Outcome(s.random.Intn(9)), Elapsed: Micros(s.random.Int63n(int64(400 * millisecond)))},
			endpoint:      &endpointRecord{Endpoint: row}, class: s.random.Intn(len(s.deployment.classes)), reportedInFlight: float64(s.random.Intn(6)) - 1,
		}
		switch s.random.Intn(10) {
		case 0:
			outcome.Outcome = rejectedRecord
		case 1:
			outcome.Outcome = sentRecord
		case 2:
			payload = append(payload, (&releaseAnalyzer{rolloutState: rolloutState{build: s.build, stage: s.stage}}).encodeVerdict(Verdict(s.random.Intn(4)))...)
			payload = append(payload, make([]byte, (recordBytes-len(payload)%recordBytes)%recordBytes)...)
			continue
		}
		payload = appendOutcome(payload, outcome)
	}
	return payload
}

func (s *goldenStream) randomOutcome() Outcome {
	if s.random.Intn(4) > 0 {
		return OK
	}
	return Outcome(s.random.Intn(9))
}

func (s *goldenStream) randomEvent() {
	switch n := s.random.Intn(100); {
	case n < 42:
		s.nextID++
		class := s.random.Intn(len(s.deployment.classes))
		p := s.deployment.classes[class]
		t := RequestArrived{ID: s.nextID, Class: class, Tenant: s.random.Intn(4), Deadline: s.now + p.Timeout, IsRetry: s.random.Intn(6) == 0}
		if s.random.Intn(2) == 0 {
			t.Key = uint64(1 + s.random.Intn(50))
		}
		if s.random.Intn(3) == 0 {
			t.CostHint = Micros(s.random.Int63n(int64(60 * millisecond)))
		}
		if s.random.Intn(5) == 0 {
			t.ArrivedAt = s.now - Micros(s.random.Int63n(int64(50*millisecond)))
		}
		s.requestClasses[t.ID] = class
		s.handle(t)
	case n < 82:
		if len(s.open) == 0 {
			return
		}
		i := s.random.Intn(len(s.open))
		o := s.open[i]
		s.open = append(s.open[:i], s.open[i+1:]...)
		outcome := s.randomOutcome()
		if s.endpoints[o.EndpointID].Build == s.build && s.random.Intn(4) == 0 {
			outcome = ServerError
		}
		s.handle(AttemptResult{RequestID: o.RequestID, EndpointID: o.EndpointID, Outcome: outcome, Elapsed: Micros(s.random.Int63n(int64(150 * millisecond))), RequestDone: outcome == OK, Load: s.randomLoad()})
	case n < 84:
		if s.nextID > 0 {
			s.handle(RequestCancelled{RequestID: 1 + uint64(s.random.Int63n(int64(s.nextID)))})
		}
	case n < 86:
		s.updateEndpoints(s.random.Intn(6) == 0)
	case n < 88:
		if len(s.healthChecks) > 0 {
			p := s.healthChecks[0]
			s.healthChecks = s.healthChecks[1:]
			s.handle(HealthCheckResult{EndpointID: p.EndpointID, Outcome: s.randomOutcome(), Elapsed: millisecond, Load: s.randomLoad()})
		}
	case n < 93:
		s.handle(GossipReceived{From: s.random.Intn(s.deployment.instance.Agents), Payload: s.randomGossip()})
	case n < 94:
		if s.random.Intn(3) == 0 {
			s.stage = s.random.Intn(len(s.deployment.plan.Caps))
			if s.random.Intn(5) == 0 {
				s.build++
			}
		}
		update := RolloutUpdate{Build: s.build, Stage: s.stage, Cap: s.deployment.plan.Caps[s.stage], Age: Micros(s.random.Int63n(int64(second)))}
		if s.random.Intn(6) == 0 {
			update.Phase = Phase(s.random.Intn(4))
		}
		if s.random.Intn(5) == 0 {
			update.IsVoteReply, update.Outcome = true, Outcome(s.random.Intn(5))
		}
		s.handle(update)
	case n < 96:
		count := 1 + s.random.Intn(200)
		s.handle(MetricsReport{Build: s.build - s.random.Intn(2), Class: s.random.Intn(len(s.deployment.classes)), Requests: count, Failures: s.random.Intn(count), MeanLatency: Micros(s.random.Int63n(int64(200 * millisecond)))})
	case n < 97:
		s.handle(ErrorReport{EndpointID: s.ids[s.random.Intn(len(s.ids))]})
	case n < 98:
		s.handle(EndpointUpdate{Failed: true})
	default:
		s.now += Micros(s.random.Int63n(int64(200 * millisecond)))
	}
}

// goldenEvents of a stream: enough for releases to begin, be voted on and go back several times.
const goldenEvents = 12000

// The same events give the same orders as ever: the file's sums were made before names and shape of this package changed.
func TestGoldenDecisions(t *testing.T) {
	var out strings.Builder
	for _, d := range goldenDeployments() {
		for seed := int64(1); seed <= 3; seed++ {
			instance := d.instance
			instance.Seed = seed
			if d.name == "evaluator" {
				instance.Index = selectAgents(instance.Agents, panelSize, ringSalt)[0]
			} else if d.name == "observer" {
				instance.Index = selectAgents(instance.Agents, instance.Agents, ringSalt)[panelSize]
			}
			s := &goldenStream{
				random: rand.New(rand.NewSource(seed)), deployment: d, now: 1000 * second, build: 2, endpoints: map[uint32]Endpoint{}, requestClasses: map[uint64]int{},
				digest: golden.NewDigest(SendAttempt{}, CancelAttempt{}, Reject{}, Fail{}, SetTimer{}, CheckHealth{}, SendGossip{}, WatchEndpoints{}, Vote{}, LogMessage{}),
			}
			endpoints := 9
			if d.name == "large" {
				endpoints = 60
			}
			for id := range endpoints {
				s.ids = append(s.ids, uint32(101+id*7))
			}
			s.router = New(instance, d.classes, d.plan, d.votingRules, d.exposureLimit, SlowStart{InitialCapacity: 0.3, Duration: 3 * second, OverloadMultiple: 2, OverloadAfter: 500 * millisecond},
				RetryLimits{MaxAttempts: 3, MaxRetryAfter: 2 * second}, d.capabilities, CostWeights{CrossZone: 0.05})
			s.updateEndpoints(true)
			s.handle(RolloutUpdate{Build: 2, Cap: d.plan.Caps[0]})
			for range goldenEvents {
				s.now += Micros(s.random.Int63n(int64(6 * millisecond)))
				s.fireTimers()
				s.randomEvent()
			}
			fmt.Fprintf(&out, "%s seed %d: %d orders %s\n", d.name, seed, s.commandCount, s.digest)
		}
	}
	golden.Check(t, "decisions.golden", out.String())
}

// What agents write to each other stays as it was, byte by byte.
func TestGoldenGossip(t *testing.T) {
	var out strings.Builder
	for i, outcome := range []attemptOutcome{
		{AttemptResult: AttemptResult{EndpointID: 0xa1b2c3d4, Outcome: OK, Elapsed: 123456}, endpoint: &endpointRecord{Endpoint: Endpoint{Build: 7}}, class: 2, reportedInFlight: 3},
		{AttemptResult: AttemptResult{EndpointID: 5, Outcome: Malformed, Elapsed: 99 * second}, endpoint: &endpointRecord{Endpoint: Endpoint{Build: 258}}, class: 0, reportedInFlight: -1},
		{AttemptResult: AttemptResult{Outcome: rejectedRecord}, endpoint: &endpointRecord{}},
		{AttemptResult: AttemptResult{EndpointID: 77, Outcome: sentRecord}, endpoint: &endpointRecord{Endpoint: Endpoint{ID: 77}}},
	} {
		fmt.Fprintf(&out, "line %d: %x\n", i, appendOutcome(nil, outcome))
	}
	a := &releaseAnalyzer{rolloutState: rolloutState{build: 300, stage: 4}}
	for v := NoVote; v <= RollBack; v++ {
		fmt.Fprintf(&out, "word %d: %x\n", v, a.encodeVerdict(v))
	}
	for _, id := range []uint32{0, 1, 77, 0xffffffff} {
		at, bit := digestBit(id)
		fmt.Fprintf(&out, "digest bit of %d: byte %d, %08b of %d\n", id, at, bit, digestBytes)
	}
	golden.Check(t, "sheets.golden", out.String())
}
