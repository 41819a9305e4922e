package policy

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// The notation: see testdata/README. One runner plays every scenario, twice, and wants the same orders.
func TestScenarios(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no scenarios in testdata")
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			first, again := playScenario(t, f), playScenario(t, f)
			if !reflect.DeepEqual(first.commands, again.commands) {
				t.Error("the same events gave other orders")
			}
			if first.checks == 0 {
				t.Error("the scenario expects nothing")
			}
		})
	}
}

type scenario struct {
	t          *testing.T
	position   string // file and line
	router     Router
	now        Micros
	settings   map[string]string
	classes    []RequestClass
	builds     map[uint32]int
	endpointOf map[uint64]uint32
	timers     []Micros
	load       []float32 // the report that comes with an ending
	commands   []Command // all orders
	eventStart int       // where the last event's begin
	checks     int
}

var outcomesByWord = map[string]Outcome{
	"ok": OK, "error": ServerError, "full": Rejected, "timeout": TimedOut,
	"noconnect": ConnectFailed, "broken": ConnectionLost, "cancelled": Cancelled, "moot": NotAttempted, "spoilt": Malformed,
}

func playScenario(t *testing.T, file string) *scenario {
	in, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	s := &scenario{t: t, settings: map[string]string{}, builds: map[uint32]int{}, endpointOf: map[uint64]uint32{}}
	sc := bufio.NewScanner(in)
	for n := 1; sc.Scan(); n++ {
		s.position = fmt.Sprintf("%s:%d", filepath.Base(file), n)
		if w := strings.Fields(strings.SplitN(sc.Text(), "#", 2)[0]); len(w) > 0 {
			s.playLine(w)
		}
	}
	return s
}

func (s *scenario) number(w string) float64 {
	v, err := strconv.ParseFloat(w, 64)
	if err != nil {
		s.t.Fatalf("%s: %q is not a number", s.position, w)
	}
	return v
}

func parseOptions(w []string) map[string]string {
	m := map[string]string{}
	for _, x := range w {
		k, v, ok := strings.Cut(x, "=")
		if !ok {
			v = "1"
		}
		m[k] = v
	}
	return m
}

func (s *scenario) option(m map[string]string, key string, def float64) float64 {
	if v, ok := m[key]; ok {
		return s.number(v)
	}
	return def
}

func (s *scenario) playLine(w []string) {
	switch w[0] {
	case "agent":
		s.settings = parseOptions(w[1:])
	case "product":
		m := parseOptions(w[2:])
		s.classes = append(s.classes, RequestClass{
			Idempotency: map[string]Idempotency{
				"inquiry": Idempotent, "referenced": Keyed,
				"once": NonIdempotent,
			}[w[1]], DedupScope: map[string]DedupScope{"": DedupAll, "zone": DedupZone, "cell": DedupCell}[m["group"]],
			DedupWindow: Micros(s.option(m, "memory", 0)) * millisecond, LatencyObjective: Micros(s.option(m, "sla", 1000)) * millisecond,
			Timeout: Micros(s.option(m, "expiry", 3000)) * millisecond, PriorityWeight: s.option(m, "revenue", 1),
		})
	case ">":
		s.expect(w[1:])
	default:
		s.advanceTo(Micros(s.number(w[0])) * millisecond)
		s.playEvent(w[1], w[2:])
	}
}

func (s *scenario) start() {
	m := s.settings
	var caps []float64
	for _, c := range strings.Split(m["caps"], ",") {
		caps = append(caps, s.number(c))
	}
	if n, is := strings.CutPrefix(m["me"], "BENCH"); is {
		m["me"] = strconv.Itoa(s.agentIndex(n))
	}
	span := func(k string, def float64) Micros { return Micros(s.option(m, k, def)) * millisecond }
	s.router = New(Instance{
		Index: int(s.option(m, "me", 0)), Agents: int(s.option(m, "agents", 1)), Seed: 7, KeyAffinity: m["warmkeys"] != "",
		HasWeights: m["unsized"] == "", LoadReport: map[string]LoadReportFormat{"1": {Utilization: 1, Rate: 2}, "": {InFlight: int(s.option(m, "holds", 0))}}[m["reports"]],
	}, s.classes,
		RolloutPlan{Caps: caps, GuardedStages: int(s.option(m, "guarded", 0)), KeysNeverGoBack: m["oneway"] != "", ReplacesInPlace: m["inplace"] != ""},
		VotingRules{
			Rule:         map[string]VotingRule{"": AnyVote, "share": VoteShare, "timer": TimedStages}[m["ballot"]],
			VoteLifetime: span("stands", 4000), MetricsInterval: span("tally", 0), VotesToAdvance: int(s.option(m, "togo", 0)), VotesToRollBack: int(s.option(m, "togoback", 1)), CallsPerSecond: s.option(m, "calls", 0),
		},
		ExposureLimit{Window: span("window", 4000), Allowance: s.option(m, "free", 3), PerClass: m["byproduct"] != ""},
		SlowStart{InitialCapacity: s.option(m, "from", 0.3), Duration: span("warm", 5000), OverloadMultiple: s.option(m, "multiple", 2), OverloadAfter: span("after", 1500)},
		RetryLimits{MaxAttempts: int(s.option(m, "max", 3))}, Capabilities{EndpointPolling: m["ask"] != "", HealthChecks: m["probe"] != "", Gossip: m["tell"] != ""}, CostWeights{})
}

// agentIndex is the number of one of the bench; a number over the seats is another agent.
func (s *scenario) agentIndex(w string) int {
	from := int(s.number(w))
	if bench := selectAgents(int(s.option(s.settings, "agents", 1)), panelSize, ringSalt); from < len(bench) {
		return bench[from]
	}
	return from
}

func (s *scenario) handle(ev Event) {
	for _, o := range s.router.Handle(s.now, ev) {
		switch o := o.(type) {
		case SetTimer:
			s.timers = append(s.timers, o.At)
			continue
		case SendAttempt:
			s.endpointOf[o.RequestID] = o.EndpointID
		}
		s.commands = append(s.commands, o)
	}
}

func (s *scenario) advanceTo(at Micros) {
	if s.router == nil {
		s.start()
	}
	s.eventStart = len(s.commands)
	for len(s.timers) > 0 && s.timers[0] <= at {
		s.now, s.timers = max(s.now, s.timers[0]), s.timers[1:]
		s.handle(TimerFired{})
	}
	s.now = at
}

func (s *scenario) playEvent(what string, w []string) {
	switch what {
	case "wait":
	case "list":
		l := EndpointUpdate{Full: w[0] == "full", Failed: w[0] == "failed"}
		var rows []string
		for _, x := range w[1:] { // first..last/build/zone is a row each
			first, rest, many := strings.Cut(x, "..")
			if last, kind, _ := strings.Cut(rest, "/"); many {
				for id := s.number(first); id <= s.number(last); id++ {
					rows = append(rows, fmt.Sprintf("%.0f/%s", id, kind))
				}
			} else {
				rows = append(rows, x)
			}
		}
		for _, x := range rows { // id/build/zone, then - draining, ! gone, @ms started
			x, started, _ := strings.Cut(x, "@")
			row := Endpoint{State: Ready, Weight: 1}
			if started != "" {
				row.Started = Micros(s.number(started)) * millisecond
			}
			if y := strings.TrimRight(x, "-!"); y != x {
				row.State = map[string]EndpointState{"-": Draining, "!": Gone}[x[len(y):]]
				x = y
			}
			p := strings.Split(x, "/")
			row.ID, row.Build, row.Zone = uint32(s.number(p[0])), int(s.number(p[1])), int(s.number(p[2]))
			s.builds[row.ID] = row.Build
			l.Endpoints = append(l.Endpoints, row)
		}
		s.handle(l)
	case "stage": // build stage phase cap, then the outcome if it answers a vote
		n := RolloutUpdate{Build: int(s.number(w[0])), Stage: int(s.number(w[1])), Cap: s.number(w[3]), Phase: map[string]Phase{
			"trial": Evaluating, "back": RollingBack, "released": Released, "withdrawn": RolledBack,
		}[w[2]]}
		if n.IsVoteReply = len(w) > 4; n.IsVoteReply {
			n.Outcome = outcomesByWord[w[4]]
		}
		s.handle(n)
	case "txn":
		s.requestArrives(uint64(s.number(w[0])), parseOptions(w[1:]))
	case "txns": // first last
		for id := s.number(w[0]); id <= s.number(w[1]); id++ {
			s.requestArrives(uint64(id), parseOptions(w[2:]))
		}
	case "end": // ID or ID..LAST
		first, last, many := strings.Cut(w[0], "..")
		if !many {
			last = first
		}
		for id := s.number(first); id <= s.number(last); id++ {
			if _, sent := s.endpointOf[uint64(id)]; sent {
				s.attemptEnds(uint64(id), outcomesByWord[w[1]], Micros(s.option(parseOptions(w[2:]), "took", 50))*millisecond)
			}
		}
	case "abandon":
		s.handle(RequestCancelled{RequestID: uint64(s.number(w[0]))})
	case "heard": // APPLIANCE OUTCOME TIMES took=, a sheet from a peer
		for n := s.number(w[2]); n > 0; n-- {
			a := uint32(s.number(w[0]))
			s.handle(GossipReceived{From: 1, Payload: appendOutcome(nil, attemptOutcome{AttemptResult: AttemptResult{
				EndpointID: a, Outcome: outcomesByWord[w[1]],
				Elapsed: Micros(s.option(parseOptions(w), "took", 50)) * millisecond,
			}, endpoint: &endpointRecord{Endpoint: Endpoint{Build: s.builds[a]}}})})
		}
	case "probed":
		s.handle(HealthCheckResult{EndpointID: uint32(s.number(w[0])), Outcome: outcomesByWord[w[1]]})
	case "digest": // SEAT ID,ID..: those that one of the bench calls busy
		text := make([]byte, digestBytes)
		for _, id := range strings.Split(w[1], ",") {
			at, bit := digestBit(uint32(s.number(id)))
			text[at] |= bit
		}
		s.handle(GossipReceived{From: s.agentIndex(w[0]), Payload: text})
	case "went": // ID TIMES, a peer's submissions
		for n := s.number(w[1]); n > 0; n-- {
			s.handle(GossipReceived{From: 1, Payload: appendOutcome(nil, attemptOutcome{AttemptResult: AttemptResult{EndpointID: uint32(s.number(w[0])), Outcome: sentRecord}, endpoint: &endpointRecord{}})})
		}
	case "tally": // BUILD PRODUCT MANY LOST took=
		s.handle(MetricsReport{
			Build: int(s.number(w[0])), Class: int(s.number(w[1])), Requests: int(s.number(w[2])), Failures: int(s.number(w[3])),
			MeanLatency: Micros(s.option(parseOptions(w[4:]), "took", 0)) * millisecond, Age: second,
		})
	case "word": // SEAT BUILD STAGE VERDICT, what one of the bench holds; a number over the seats is another agent
		from := s.agentIndex(w[0])
		v := map[string]Verdict{"none": NoVote, "on": Advance, "back": RollBack, "9": 9}[w[3]]
		s.handle(GossipReceived{From: from, Payload: []byte{byte(s.number(w[1])), 0, 0, 0, byte(s.number(w[2])), byte(v), verdictRecord, 0, 0, 0}})
	case "flag":
		for n := s.number(w[1]); n > 0; n-- { // ID TIMES
			s.handle(ErrorReport{EndpointID: uint32(s.number(w[0]))})
		}
	case "run": // until=ms every=ms fail=build failat=id slowat=id,id errs=every keys=many: traffic, each txn answered in time
		m := parseOptions(w)
		since := len(s.commands)
		errs, keys := int(s.option(m, "errs", 0)), int(s.option(m, "keys", 0))
		customers, failFor := int(s.option(m, "customers", 1)), int(s.option(m, "failfor", -1))
		for id, i := uint64(1e6)+uint64(s.now), 1; s.now < Micros(s.option(m, "until", 0))*millisecond; id, i = id+1, i+1 {
			if keys > 0 {
				m["key"] = strconv.Itoa(1 + i%keys)
			}
			customer := i % customers
			m["customer"] = strconv.Itoa(customer)
			s.requestArrives(id, m)
			spoil := errs > 0 && i%errs == 0
			for a, sent := s.endpointOf[id]; sent; a, sent = s.endpointOf[id] {
				how := OK
				if s.builds[a] == int(s.option(m, "fail", -1)) || a == uint32(s.option(m, "failat", 0)) ||
					customer == failFor || spoil {
					how, spoil = ServerError, false
				}
				took := Micros(s.option(m, "took", 20)) * millisecond
				if s.builds[a] == int(s.option(m, "slow", -1)) || slices.Contains(strings.Split(m["slowat"], ","), fmt.Sprint(a)) {
					took = 1500 * millisecond
				}
				s.load = nil
				for _, x := range strings.Split(m["rates"], ",") { // ID:RATE, what its reports say at that busy=
					if who, rate, told := strings.Cut(x, ":"); told && a == uint32(s.number(who)) {
						s.load = []float32{float32(s.option(m, "busy", 0)), float32(s.number(rate))}
					}
				}
				s.attemptEnds(id, how, took)
			}
			s.advanceTo(s.now + Micros(s.option(m, "every", 20))*millisecond)
		}
		s.eventStart = since
	default:
		s.t.Fatalf("%s: no event %q", s.position, what)
	}
}

func (s *scenario) requestArrives(id uint64, m map[string]string) {
	p := int(s.option(m, "product", 0))
	s.handle(RequestArrived{
		ID: id, Class: p, Tenant: int(s.option(m, "customer", 0)), Key: uint64(s.option(m, "key", 0)), CostHint: Micros(s.option(m, "work", 0)) * millisecond,
		Deadline: s.now + Micros(s.option(m, "for", float64(s.classes[p].Timeout/millisecond)))*millisecond,
	})
}

func (s *scenario) attemptEnds(id uint64, how Outcome, took Micros) {
	a := s.endpointOf[id]
	delete(s.endpointOf, id)
	s.handle(AttemptResult{RequestID: id, EndpointID: a, Outcome: how, Elapsed: took, RequestDone: how == OK, Load: s.load})
}

// describe gives a command's word in the notation, and the figures that a scenario may ask for.
func (s *scenario) describe(c Command) (word string, figures map[string]float64) {
	switch c := c.(type) {
	case SendAttempt:
		return "submit", map[string]float64{
			"id": float64(c.RequestID), "to": float64(c.EndpointID),
			"build": float64(s.builds[c.EndpointID]), "before": float64(c.WriteBefore / millisecond),
		}
	case CancelAttempt:
		return "calloff", map[string]float64{"id": float64(c.RequestID)}
	case Reject:
		return "decline", map[string]float64{"id": float64(c.RequestID)}
	case Fail:
		return "void", map[string]float64{"id": float64(c.RequestID)}
	case CheckHealth:
		return "probe", map[string]float64{"to": float64(c.EndpointID)}
	case SendGossip:
		return "tell", nil
	case WatchEndpoints:
		return "watch", nil
	case Vote:
		return "vote" + []string{"-none", "-on", "-hold", "-back"}[c.Verdict], map[string]float64{"build": float64(c.Build), "stage": float64(c.Stage)}
	case LogMessage:
		return "say", nil
	}
	s.t.Fatalf("%s: no word for %T", s.position, c)
	return "", nil
}

func (s *scenario) expect(w []string) {
	s.checks++
	least, most := 1, 1<<30
	if w[0] == "no" {
		least, most, w = 0, 0, w[1:]
	}
	kind, m := w[0], parseOptions(w[1:])
	if m["at-most"] != "" {
		least, most = 0, int(s.number(m["at-most"]))
	}
	least = int(s.option(m, "at-least", float64(least)))
	n := 0
	for _, o := range s.commands[s.eventStart:] {
		name, got := s.describe(o)
		hit := name == kind
		for k, v := range m {
			hit = hit && (strings.HasPrefix(k, "at-") || got[k] == s.number(v))
		}
		if hit {
			n++
		}
	}
	if n < least || n > most {
		s.t.Errorf("%s: %s came %d times, want %d to %d, of %d orders: %.600s", s.position, strings.Join(w, " "), n, least, most,
			len(s.commands)-s.eventStart, fmt.Sprintf("%+v", s.commands[s.eventStart:]))
	}
}

// Keys that are always new and appliances that come and go leave nothing behind.
func TestStateStaysBounded(t *testing.T) {
	r := New(Instance{Agents: 3, Seed: 7, KeyAffinity: true}, []RequestClass{{LatencyObjective: second, Timeout: 3 * second, PriorityWeight: 1}},
		RolloutPlan{Caps: []float64{1}}, VotingRules{}, ExposureLimit{Window: second}, SlowStart{}, RetryLimits{MaxAttempts: 3},
		Capabilities{}, CostWeights{}).(*router)
	most := 0
	for id := range uint64(20000) {
		now := Micros(id) * millisecond
		if id%10 == 0 {
			r.Handle(now, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: uint32(id), Build: 1, State: Ready, Weight: 1}}})
		}
		for _, command := range r.Handle(now, RequestArrived{ID: id, Key: id + 1, CostHint: 10 * millisecond, Deadline: now + 3*second}) {
			if attempt, is := command.(SendAttempt); is {
				r.Handle(now, AttemptResult{RequestID: id, EndpointID: attempt.EndpointID, Outcome: OK, Elapsed: 10 * millisecond, RequestDone: true})
			}
		}
		r.Handle(now, TimerFired{})
		if id > 10000 {
			most = max(most, len(r.dispatcher.keys.recent)+len(r.dispatcher.keys.previous)+len(r.endpoints.all)+len(r.endpoints.byID)+len(r.dispatcher.requests))
		}
	}
	if most > 1000 {
		t.Errorf("%d records are kept", most)
	}
}
