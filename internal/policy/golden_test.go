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
	name     string
	products []RequestClass
	station  Instance
	plan     RolloutPlan
	polling  VotingRules
	count    ExposureLimit
	may      Capabilities
}

func goldenDeployments() []goldenDeployment {
	inquiry := RequestClass{Idempotency: Idempotent, LatencyObjective: 100 * millisecond, Timeout: 400 * millisecond, PriorityWeight: 1}
	keyed := RequestClass{Idempotency: Keyed, DedupWindow: 500 * millisecond, LatencyObjective: 200 * millisecond, Timeout: 900 * millisecond, PriorityWeight: 5, LateWeightShare: 0.3}
	zoned := RequestClass{Idempotency: Keyed, DedupScope: DedupZone, DedupWindow: 300 * millisecond, LatencyObjective: 150 * millisecond, Timeout: 700 * millisecond, PriorityWeight: 3}
	once := RequestClass{Idempotency: NonIdempotent, LatencyObjective: 300 * millisecond, Timeout: 1200 * millisecond, PriorityWeight: 9}
	cell := RequestClass{Idempotency: Keyed, DedupScope: DedupCell, DedupWindow: 800 * millisecond, LatencyObjective: 250 * millisecond, Timeout: 1000 * millisecond, PriorityWeight: 2}
	caps := []float64{0.05, 0.3, 1}
	all := []RequestClass{inquiry, keyed, zoned, once, cell}
	votes := VotingRules{Rule: AnyVote, VoteLifetime: 4 * second, CallTimeout: 800 * millisecond, CallsPerSecond: 20, VotesToAdvance: 1, VotesToRollBack: 1}
	share, timer := votes, votes
	share.Rule, share.VotesToAdvance, share.VotesToRollBack, share.MetricsInterval = VoteShare, 4, 3, 1*second
	timer.Rule = TimedStages
	window := ExposureLimit{Window: 4 * second, Allowance: 3}
	byProduct := ExposureLimit{Window: 2 * second, Allowance: 1, PerClass: true}
	return []goldenDeployment{
		{"alone", all, Instance{Agents: 1, HasWeights: true}, RolloutPlan{Caps: caps, GuardedStages: 1}, votes, window, Capabilities{HealthChecks: true}},
		{"three", all, Instance{Index: 1, Agents: 3, Zone: 1, KeyAffinity: true, HasWeights: true}, RolloutPlan{Caps: caps, KeysNeverGoBack: true}, votes, byProduct, Capabilities{Gossip: true}},
		{"evaluator", all, Instance{Agents: 40, KeyAffinity: true, LoadReport: LoadReportFormat{Utilization: 1, Rate: 2, InFlight: 3}}, RolloutPlan{Caps: caps, GuardedStages: 2, ReplacesInPlace: true}, votes, window, Capabilities{HealthChecks: true, Gossip: true, EndpointPolling: true}},
		{"observer", all, Instance{Agents: 40, LoadReport: LoadReportFormat{Utilization: 1, Rate: 2, InFlight: 3}}, RolloutPlan{Caps: caps, KeysNeverGoBack: true}, votes, window, Capabilities{HealthChecks: true, Gossip: true}},
		{"counted", all, Instance{Index: 7, Agents: 60, HasWeights: true}, RolloutPlan{Caps: caps}, share, window, Capabilities{EndpointPolling: true}},
		{"timed", []RequestClass{inquiry, keyed}, Instance{Index: 2, Agents: 5, HasWeights: true}, RolloutPlan{Caps: caps}, timer, window, Capabilities{Gossip: true, HealthChecks: true}},
		{"large", []RequestClass{inquiry, once}, Instance{Index: 2, Agents: 12, HasWeights: true}, RolloutPlan{Caps: []float64{0.2, 1}}, votes, window, Capabilities{HealthChecks: true}},
	}
}

// goldenStream makes the random events that fit what the router has ordered so far.
type goldenStream struct {
	chance   *rand.Rand
	d        goldenDeployment
	r        Router
	digest   *golden.Digest
	now      Micros
	nextID   uint64
	open     []SendAttempt
	probes   []CheckHealth
	wakes    []Micros
	rows     map[uint32]Endpoint
	ids      []uint32
	build    int
	stage    int
	many     int
	orders   int
	products map[uint64]int
}

func (s *goldenStream) give(ev Event) {
	for _, o := range s.r.Handle(s.now, ev) {
		s.orders++
		s.digest.Add(o)
		switch o := o.(type) {
		case SendAttempt:
			s.open = append(s.open, o)
		case CheckHealth:
			s.probes = append(s.probes, o)
		case SetTimer:
			s.wakes = append(s.wakes, o.At)
		}
	}
}

func (s *goldenStream) row(id uint32) Endpoint {
	row := Endpoint{ID: id, Build: 1, Zone: int(id) % 3, State: Ready, Cell: int(id) % 5, Weight: 0.5 + float64(id%4)/2}
	if s.chance.Intn(3) == 0 {
		row.Build = s.build
	}
	if s.chance.Intn(4) == 0 {
		row.Started = s.now - Micros(s.chance.Int63n(int64(4*second)))
	}
	if s.chance.Intn(12) == 0 {
		row.State = []EndpointState{Draining, Gone}[s.chance.Intn(2)]
	}
	return row
}

func (s *goldenStream) list(full bool) {
	l := EndpointUpdate{Full: full}
	for _, id := range s.ids {
		if full || s.chance.Intn(len(s.ids)) == 0 {
			s.rows[id] = s.row(id)
			l.Endpoints = append(l.Endpoints, s.rows[id])
		}
	}
	s.give(l)
}

func (s *goldenStream) bells() {
	for len(s.wakes) > 0 {
		least := 0
		for i, at := range s.wakes {
			if at < s.wakes[least] {
				least = i
			}
		}
		at := s.wakes[least]
		if at > s.now {
			return
		}
		s.wakes = append(s.wakes[:least], s.wakes[least+1:]...)
		s.give(TimerFired{})
	}
}

func (s *goldenStream) load() []float32 {
	if s.chance.Intn(3) == 0 {
		return nil
	}
	return []float32{s.chance.Float32(), s.chance.Float32() * 100, float32(s.chance.Intn(9))}
}

func (s *goldenStream) sheet() []byte {
	if s.chance.Intn(8) == 0 {
		raw := make([]byte, []int{digestBytes, 7, 25}[s.chance.Intn(3)])
		s.chance.Read(raw)
		return raw
	}
	var raw []byte
	for range 1 + s.chance.Intn(12) {
		row := s.rows[s.ids[s.chance.Intn(len(s.ids))]]
		n := attemptOutcome{
			AttemptResult: AttemptResult{EndpointID: row.ID, Outcome: Outcome(s.chance.Intn(9)), Elapsed: Micros(s.chance.Int63n(int64(400 * millisecond)))},
			endpoint:      &endpointRecord{Endpoint: row}, class: s.chance.Intn(len(s.d.products)), reportedInFlight: float64(s.chance.Intn(6)) - 1,
		}
		switch s.chance.Intn(10) {
		case 0:
			n.Outcome = rejectedRecord
		case 1:
			n.Outcome = sentRecord
		case 2:
			raw = append(raw, (&releaseAnalyzer{rolloutState: rolloutState{build: s.build, stage: s.stage}}).encodeVerdict(Verdict(s.chance.Intn(4)))...)
			raw = append(raw, make([]byte, (recordBytes-len(raw)%recordBytes)%recordBytes)...)
			continue
		}
		raw = appendOutcome(raw, n)
	}
	return raw
}

func (s *goldenStream) outcome() Outcome {
	if s.chance.Intn(4) > 0 {
		return OK
	}
	return Outcome(s.chance.Intn(9))
}

func (s *goldenStream) event() {
	switch n := s.chance.Intn(100); {
	case n < 42:
		s.nextID++
		product := s.chance.Intn(len(s.d.products))
		p := s.d.products[product]
		t := RequestArrived{ID: s.nextID, Class: product, Tenant: s.chance.Intn(4), Deadline: s.now + p.Timeout, IsRetry: s.chance.Intn(6) == 0}
		if s.chance.Intn(2) == 0 {
			t.Key = uint64(1 + s.chance.Intn(50))
		}
		if s.chance.Intn(3) == 0 {
			t.CostHint = Micros(s.chance.Int63n(int64(60 * millisecond)))
		}
		if s.chance.Intn(5) == 0 {
			t.ArrivedAt = s.now - Micros(s.chance.Int63n(int64(50*millisecond)))
		}
		s.products[t.ID] = product
		s.give(t)
	case n < 82:
		if len(s.open) == 0 {
			return
		}
		i := s.chance.Intn(len(s.open))
		o := s.open[i]
		s.open = append(s.open[:i], s.open[i+1:]...)
		how := s.outcome()
		if s.rows[o.EndpointID].Build == s.build && s.chance.Intn(4) == 0 {
			how = ServerError
		}
		s.give(AttemptResult{RequestID: o.RequestID, EndpointID: o.EndpointID, Outcome: how, Elapsed: Micros(s.chance.Int63n(int64(150 * millisecond))), RequestDone: how == OK, Load: s.load()})
	case n < 84:
		if s.nextID > 0 {
			s.give(RequestCancelled{RequestID: 1 + uint64(s.chance.Int63n(int64(s.nextID)))})
		}
	case n < 86:
		s.list(s.chance.Intn(6) == 0)
	case n < 88:
		if len(s.probes) > 0 {
			p := s.probes[0]
			s.probes = s.probes[1:]
			s.give(HealthCheckResult{EndpointID: p.EndpointID, Outcome: s.outcome(), Elapsed: millisecond, Load: s.load()})
		}
	case n < 93:
		s.give(GossipReceived{From: s.chance.Intn(s.d.station.Agents), Payload: s.sheet()})
	case n < 94:
		if s.chance.Intn(3) == 0 {
			s.stage = s.chance.Intn(len(s.d.plan.Caps))
			if s.chance.Intn(5) == 0 {
				s.build++
			}
		}
		st := RolloutUpdate{Build: s.build, Stage: s.stage, Cap: s.d.plan.Caps[s.stage], Age: Micros(s.chance.Int63n(int64(second)))}
		if s.chance.Intn(6) == 0 {
			st.Phase = Phase(s.chance.Intn(4))
		}
		if s.chance.Intn(5) == 0 {
			st.IsVoteReply, st.Outcome = true, Outcome(s.chance.Intn(5))
		}
		s.give(st)
	case n < 96:
		many := 1 + s.chance.Intn(200)
		s.give(MetricsReport{Build: s.build - s.chance.Intn(2), Class: s.chance.Intn(len(s.d.products)), Requests: many, Failures: s.chance.Intn(many), MeanLatency: Micros(s.chance.Int63n(int64(200 * millisecond)))})
	case n < 97:
		s.give(ErrorReport{EndpointID: s.ids[s.chance.Intn(len(s.ids))]})
	case n < 98:
		s.give(EndpointUpdate{Failed: true})
	default:
		s.now += Micros(s.chance.Int63n(int64(200 * millisecond)))
	}
}

// goldenEvents of a stream: enough for releases to begin, be voted on and go back several times.
const goldenEvents = 12000

// The same events give the same orders as ever: the file's sums were made before names and shape of this package changed.
func TestGoldenDecisions(t *testing.T) {
	var out strings.Builder
	for _, d := range goldenDeployments() {
		for seed := int64(1); seed <= 3; seed++ {
			station := d.station
			station.Seed = seed
			if d.name == "evaluator" {
				station.Index = selectAgents(station.Agents, panelSize, ringSalt)[0]
			} else if d.name == "observer" {
				station.Index = selectAgents(station.Agents, station.Agents, ringSalt)[panelSize]
			}
			s := &goldenStream{
				chance: rand.New(rand.NewSource(seed)), d: d, now: 1000 * second, build: 2, rows: map[uint32]Endpoint{}, products: map[uint64]int{},
				digest: golden.NewDigest(SendAttempt{}, CancelAttempt{}, Reject{}, Fail{}, SetTimer{}, CheckHealth{}, SendGossip{}, WatchEndpoints{}, Vote{}, LogMessage{}),
			}
			appliances := 9
			if d.name == "large" {
				appliances = 60
			}
			for id := range appliances {
				s.ids = append(s.ids, uint32(101+id*7))
			}
			s.r = New(station, d.products, d.plan, d.polling, d.count, SlowStart{InitialCapacity: 0.3, Duration: 3 * second, OverloadMultiple: 2, OverloadAfter: 500 * millisecond},
				RetryLimits{MaxAttempts: 3, MaxRetryAfter: 2 * second}, d.may, CostWeights{CrossZone: 0.05})
			s.list(true)
			s.give(RolloutUpdate{Build: 2, Cap: d.plan.Caps[0]})
			for range goldenEvents {
				s.now += Micros(s.chance.Int63n(int64(6 * millisecond)))
				s.bells()
				s.event()
			}
			fmt.Fprintf(&out, "%s seed %d: %d orders %s\n", d.name, seed, s.orders, s.digest)
		}
	}
	golden.Check(t, "decisions.golden", out.String())
}

// What agents write to each other stays as it was, byte by byte.
func TestGoldenSheets(t *testing.T) {
	var out strings.Builder
	for i, n := range []attemptOutcome{
		{AttemptResult: AttemptResult{EndpointID: 0xa1b2c3d4, Outcome: OK, Elapsed: 123456}, endpoint: &endpointRecord{Endpoint: Endpoint{Build: 7}}, class: 2, reportedInFlight: 3},
		{AttemptResult: AttemptResult{EndpointID: 5, Outcome: Malformed, Elapsed: 99 * second}, endpoint: &endpointRecord{Endpoint: Endpoint{Build: 258}}, class: 0, reportedInFlight: -1},
		{AttemptResult: AttemptResult{Outcome: rejectedRecord}, endpoint: &endpointRecord{}},
		{AttemptResult: AttemptResult{EndpointID: 77, Outcome: sentRecord}, endpoint: &endpointRecord{Endpoint: Endpoint{ID: 77}}},
	} {
		fmt.Fprintf(&out, "line %d: %x\n", i, appendOutcome(nil, n))
	}
	j := &releaseAnalyzer{rolloutState: rolloutState{build: 300, stage: 4}}
	for v := NoVote; v <= RollBack; v++ {
		fmt.Fprintf(&out, "word %d: %x\n", v, j.encodeVerdict(v))
	}
	for _, id := range []uint32{0, 1, 77, 0xffffffff} {
		at, bit := digestBit(id)
		fmt.Fprintf(&out, "digest bit of %d: byte %d, %08b of %d\n", id, at, bit, digestBytes)
	}
	golden.Check(t, "sheets.golden", out.String())
}
