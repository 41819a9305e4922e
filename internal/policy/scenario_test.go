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
			first, again := play(t, f), play(t, f)
			if !reflect.DeepEqual(first.log, again.log) {
				t.Error("the same events gave other orders")
			}
			if first.checks == 0 {
				t.Error("the scenario expects nothing")
			}
		})
	}
}

type stage struct {
	t      *testing.T
	at     string // file and line
	r      Router
	now    Micros
	words  map[string]string
	prods  []RequestClass
	builds map[uint32]int
	on     map[uint64]uint32
	wakes  []Micros
	load   []float32 // the report that comes with an ending
	log    []Command // all orders
	since  int       // where the last event's begin
	checks int
}

var outcomeWords = map[string]Outcome{
	"ok": OK, "error": ServerError, "full": Rejected, "timeout": TimedOut,
	"noconnect": ConnectFailed, "broken": ConnectionLost, "cancelled": Cancelled, "moot": NotAttempted, "spoilt": Malformed,
}

func play(t *testing.T, file string) *stage {
	in, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	s := &stage{t: t, words: map[string]string{}, builds: map[uint32]int{}, on: map[uint64]uint32{}}
	sc := bufio.NewScanner(in)
	for n := 1; sc.Scan(); n++ {
		s.at = fmt.Sprintf("%s:%d", filepath.Base(file), n)
		if w := strings.Fields(strings.SplitN(sc.Text(), "#", 2)[0]); len(w) > 0 {
			s.line(w)
		}
	}
	return s
}

func (s *stage) num(w string) float64 {
	v, err := strconv.ParseFloat(w, 64)
	if err != nil {
		s.t.Fatalf("%s: %q is not a number", s.at, w)
	}
	return v
}

func opts(w []string) map[string]string {
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

func (s *stage) val(m map[string]string, key string, def float64) float64 {
	if v, ok := m[key]; ok {
		return s.num(v)
	}
	return def
}

func (s *stage) line(w []string) {
	switch w[0] {
	case "agent":
		s.words = opts(w[1:])
	case "product":
		m := opts(w[2:])
		s.prods = append(s.prods, RequestClass{
			Idempotency: map[string]Idempotency{
				"inquiry": Idempotent, "referenced": Keyed,
				"once": NonIdempotent,
			}[w[1]], DedupScope: map[string]DedupScope{"": DedupAll, "zone": DedupZone, "cell": DedupCell}[m["group"]],
			DedupWindow: Micros(s.val(m, "memory", 0)) * millisecond, LatencyObjective: Micros(s.val(m, "sla", 1000)) * millisecond,
			Timeout: Micros(s.val(m, "expiry", 3000)) * millisecond, PriorityWeight: s.val(m, "revenue", 1),
		})
	case ">":
		s.expect(w[1:])
	default:
		s.until(Micros(s.num(w[0])) * millisecond)
		s.event(w[1], w[2:])
	}
}

func (s *stage) open() {
	m := s.words
	var caps []float64
	for _, c := range strings.Split(m["caps"], ",") {
		caps = append(caps, s.num(c))
	}
	if n, is := strings.CutPrefix(m["me"], "BENCH"); is {
		m["me"] = strconv.Itoa(s.seat(n))
	}
	span := func(k string, def float64) Micros { return Micros(s.val(m, k, def)) * millisecond }
	s.r = New(Instance{
		Index: int(s.val(m, "me", 0)), Agents: int(s.val(m, "agents", 1)), Seed: 7, KeyAffinity: m["warmkeys"] != "",
		HasWeights: m["unsized"] == "", LoadReport: map[string]LoadReportFormat{"1": {Utilization: 1, Rate: 2}, "": {InFlight: int(s.val(m, "holds", 0))}}[m["reports"]],
	}, s.prods,
		RolloutPlan{Caps: caps, GuardedStages: int(s.val(m, "guarded", 0)), KeysNeverGoBack: m["oneway"] != "", ReplacesInPlace: m["inplace"] != ""},
		VotingRules{
			Rule:         map[string]VotingRule{"": AnyVote, "share": VoteShare, "timer": TimedStages}[m["ballot"]],
			VoteLifetime: span("stands", 4000), MetricsInterval: span("tally", 0), VotesToAdvance: int(s.val(m, "togo", 0)), VotesToRollBack: int(s.val(m, "togoback", 1)), CallsPerSecond: s.val(m, "calls", 0),
		},
		ExposureLimit{Window: span("window", 4000), Allowance: s.val(m, "free", 3), PerClass: m["byproduct"] != ""},
		SlowStart{InitialCapacity: s.val(m, "from", 0.3), Duration: span("warm", 5000), OverloadMultiple: s.val(m, "multiple", 2), OverloadAfter: span("after", 1500)},
		RetryLimits{MaxAttempts: int(s.val(m, "max", 3))}, Capabilities{EndpointPolling: m["ask"] != "", HealthChecks: m["probe"] != "", Gossip: m["tell"] != ""}, CostWeights{})
}

// seat is the number of one of the bench; a number over the seats is another agent.
func (s *stage) seat(w string) int {
	from := int(s.num(w))
	if bench := selectAgents(int(s.val(s.words, "agents", 1)), panelSize, ringSalt); from < len(bench) {
		return bench[from]
	}
	return from
}

func (s *stage) give(ev Event) {
	for _, o := range s.r.Handle(s.now, ev) {
		switch o := o.(type) {
		case SetTimer:
			s.wakes = append(s.wakes, o.At)
			continue
		case SendAttempt:
			s.on[o.RequestID] = o.EndpointID
		}
		s.log = append(s.log, o)
	}
}

func (s *stage) until(at Micros) {
	if s.r == nil {
		s.open()
	}
	s.since = len(s.log)
	for len(s.wakes) > 0 && s.wakes[0] <= at {
		s.now, s.wakes = max(s.now, s.wakes[0]), s.wakes[1:]
		s.give(TimerFired{})
	}
	s.now = at
}

func (s *stage) event(what string, w []string) {
	switch what {
	case "wait":
	case "list":
		l := EndpointUpdate{Full: w[0] == "full", Failed: w[0] == "failed"}
		var rows []string
		for _, x := range w[1:] { // first..last/build/zone is a row each
			first, rest, many := strings.Cut(x, "..")
			if last, kind, _ := strings.Cut(rest, "/"); many {
				for id := s.num(first); id <= s.num(last); id++ {
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
				row.Started = Micros(s.num(started)) * millisecond
			}
			if y := strings.TrimRight(x, "-!"); y != x {
				row.State = map[string]EndpointState{"-": Draining, "!": Gone}[x[len(y):]]
				x = y
			}
			p := strings.Split(x, "/")
			row.ID, row.Build, row.Zone = uint32(s.num(p[0])), int(s.num(p[1])), int(s.num(p[2]))
			s.builds[row.ID] = row.Build
			l.Endpoints = append(l.Endpoints, row)
		}
		s.give(l)
	case "stage": // build stage phase cap, then the outcome if it answers a vote
		n := RolloutUpdate{Build: int(s.num(w[0])), Stage: int(s.num(w[1])), Cap: s.num(w[3]), Phase: map[string]Phase{
			"trial": Evaluating, "back": RollingBack, "released": Released, "withdrawn": RolledBack,
		}[w[2]]}
		if n.IsVoteReply = len(w) > 4; n.IsVoteReply {
			n.Outcome = outcomeWords[w[4]]
		}
		s.give(n)
	case "txn":
		s.txn(uint64(s.num(w[0])), opts(w[1:]))
	case "txns": // first last
		for id := s.num(w[0]); id <= s.num(w[1]); id++ {
			s.txn(uint64(id), opts(w[2:]))
		}
	case "end": // ID or ID..LAST
		first, last, many := strings.Cut(w[0], "..")
		if !many {
			last = first
		}
		for id := s.num(first); id <= s.num(last); id++ {
			if _, sent := s.on[uint64(id)]; sent {
				s.end(uint64(id), outcomeWords[w[1]], Micros(s.val(opts(w[2:]), "took", 50))*millisecond)
			}
		}
	case "abandon":
		s.give(RequestCancelled{RequestID: uint64(s.num(w[0]))})
	case "heard": // APPLIANCE OUTCOME TIMES took=, a sheet from a peer
		for n := s.num(w[2]); n > 0; n-- {
			a := uint32(s.num(w[0]))
			s.give(GossipReceived{From: 1, Payload: appendOutcome(nil, attemptOutcome{AttemptResult: AttemptResult{
				EndpointID: a, Outcome: outcomeWords[w[1]],
				Elapsed: Micros(s.val(opts(w), "took", 50)) * millisecond,
			}, endpoint: &endpointRecord{Endpoint: Endpoint{Build: s.builds[a]}}})})
		}
	case "probed":
		s.give(HealthCheckResult{EndpointID: uint32(s.num(w[0])), Outcome: outcomeWords[w[1]]})
	case "digest": // SEAT ID,ID..: those that one of the bench calls busy
		text := make([]byte, digestBytes)
		for _, id := range strings.Split(w[1], ",") {
			at, bit := digestBit(uint32(s.num(id)))
			text[at] |= bit
		}
		s.give(GossipReceived{From: s.seat(w[0]), Payload: text})
	case "went": // ID TIMES, a peer's submissions
		for n := s.num(w[1]); n > 0; n-- {
			s.give(GossipReceived{From: 1, Payload: appendOutcome(nil, attemptOutcome{AttemptResult: AttemptResult{EndpointID: uint32(s.num(w[0])), Outcome: sentRecord}, endpoint: &endpointRecord{}})})
		}
	case "tally": // BUILD PRODUCT MANY LOST took=
		s.give(MetricsReport{
			Build: int(s.num(w[0])), Class: int(s.num(w[1])), Requests: int(s.num(w[2])), Failures: int(s.num(w[3])),
			MeanLatency: Micros(s.val(opts(w[4:]), "took", 0)) * millisecond, Age: second,
		})
	case "word": // SEAT BUILD STAGE VERDICT, what one of the bench holds; a number over the seats is another agent
		from := s.seat(w[0])
		v := map[string]Verdict{"none": NoVote, "on": Advance, "back": RollBack, "9": 9}[w[3]]
		s.give(GossipReceived{From: from, Payload: []byte{byte(s.num(w[1])), 0, 0, 0, byte(s.num(w[2])), byte(v), verdictRecord, 0, 0, 0}})
	case "flag":
		for n := s.num(w[1]); n > 0; n-- { // ID TIMES
			s.give(ErrorReport{EndpointID: uint32(s.num(w[0]))})
		}
	case "run": // until=ms every=ms fail=build failat=id slowat=id,id errs=every keys=many: traffic, each txn answered in time
		m := opts(w)
		since := len(s.log)
		errs, keys := int(s.val(m, "errs", 0)), int(s.val(m, "keys", 0))
		customers, failFor := int(s.val(m, "customers", 1)), int(s.val(m, "failfor", -1))
		for id, i := uint64(1e6)+uint64(s.now), 1; s.now < Micros(s.val(m, "until", 0))*millisecond; id, i = id+1, i+1 {
			if keys > 0 {
				m["key"] = strconv.Itoa(1 + i%keys)
			}
			customer := i % customers
			m["customer"] = strconv.Itoa(customer)
			s.txn(id, m)
			spoil := errs > 0 && i%errs == 0
			for a, sent := s.on[id]; sent; a, sent = s.on[id] {
				how := OK
				if s.builds[a] == int(s.val(m, "fail", -1)) || a == uint32(s.val(m, "failat", 0)) ||
					customer == failFor || spoil {
					how, spoil = ServerError, false
				}
				took := Micros(s.val(m, "took", 20)) * millisecond
				if s.builds[a] == int(s.val(m, "slow", -1)) || slices.Contains(strings.Split(m["slowat"], ","), fmt.Sprint(a)) {
					took = 1500 * millisecond
				}
				s.load = nil
				for _, x := range strings.Split(m["rates"], ",") { // ID:RATE, what its reports say at that busy=
					if who, rate, told := strings.Cut(x, ":"); told && a == uint32(s.num(who)) {
						s.load = []float32{float32(s.val(m, "busy", 0)), float32(s.num(rate))}
					}
				}
				s.end(id, how, took)
			}
			s.until(s.now + Micros(s.val(m, "every", 20))*millisecond)
		}
		s.since = since
	default:
		s.t.Fatalf("%s: no event %q", s.at, what)
	}
}

func (s *stage) txn(id uint64, m map[string]string) {
	p := int(s.val(m, "product", 0))
	s.give(RequestArrived{
		ID: id, Class: p, Tenant: int(s.val(m, "customer", 0)), Key: uint64(s.val(m, "key", 0)), CostHint: Micros(s.val(m, "work", 0)) * millisecond,
		Deadline: s.now + Micros(s.val(m, "for", float64(s.prods[p].Timeout/millisecond)))*millisecond,
	})
}

func (s *stage) end(id uint64, how Outcome, took Micros) {
	a := s.on[id]
	delete(s.on, id)
	s.give(AttemptResult{RequestID: id, EndpointID: a, Outcome: how, Elapsed: took, RequestDone: how == OK, Load: s.load})
}

// describe gives a command's word in the notation, and the figures that a scenario may ask for.
func (s *stage) describe(c Command) (word string, figures map[string]float64) {
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
	s.t.Fatalf("%s: no word for %T", s.at, c)
	return "", nil
}

func (s *stage) expect(w []string) {
	s.checks++
	least, most := 1, 1<<30
	if w[0] == "no" {
		least, most, w = 0, 0, w[1:]
	}
	kind, m := w[0], opts(w[1:])
	if m["at-most"] != "" {
		least, most = 0, int(s.num(m["at-most"]))
	}
	least = int(s.val(m, "at-least", float64(least)))
	n := 0
	for _, o := range s.log[s.since:] {
		name, got := s.describe(o)
		hit := name == kind
		for k, v := range m {
			hit = hit && (strings.HasPrefix(k, "at-") || got[k] == s.num(v))
		}
		if hit {
			n++
		}
	}
	if n < least || n > most {
		s.t.Errorf("%s: %s came %d times, want %d to %d, of %d orders: %.600s", s.at, strings.Join(w, " "), n, least, most,
			len(s.log)-s.since, fmt.Sprintf("%+v", s.log[s.since:]))
	}
}

// Keys that are always new and appliances that come and go leave nothing behind.
func TestNothingGrows(t *testing.T) {
	g := New(Instance{Agents: 3, Seed: 7, KeyAffinity: true}, []RequestClass{{LatencyObjective: second, Timeout: 3 * second, PriorityWeight: 1}},
		RolloutPlan{Caps: []float64{1}}, VotingRules{}, ExposureLimit{Window: second}, SlowStart{}, RetryLimits{MaxAttempts: 3},
		Capabilities{}, CostWeights{}).(*router)
	most := 0
	for id := range uint64(20000) {
		now := Micros(id) * millisecond
		if id%10 == 0 {
			g.Handle(now, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: uint32(id), Build: 1, State: Ready, Weight: 1}}})
		}
		for _, o := range g.Handle(now, RequestArrived{ID: id, Key: id + 1, CostHint: 10 * millisecond, Deadline: now + 3*second}) {
			if s, is := o.(SendAttempt); is {
				g.Handle(now, AttemptResult{RequestID: id, EndpointID: s.EndpointID, Outcome: OK, Elapsed: 10 * millisecond, RequestDone: true})
			}
		}
		g.Handle(now, TimerFired{})
		if id > 10000 {
			most = max(most, len(g.dispatcher.keys.recent)+len(g.dispatcher.keys.previous)+len(g.endpoints.all)+len(g.endpoints.byID)+len(g.dispatcher.requests))
		}
	}
	if most > 1000 {
		t.Errorf("%d records are kept", most)
	}
}
