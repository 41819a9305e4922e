package policy

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

// TestScenarios runs each scenario in testdata twice. It checks the expectations of the scenario, and that both runs give the same
// commands. testdata/README describes the notation.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Fatal("no scenarios in testdata")
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			first, second := runScenario(t, file), runScenario(t, file)
			if !reflect.DeepEqual(first.commands, second.commands) {
				t.Error("two runs with the same events gave different commands")
			}
			if first.checks == 0 {
				t.Error("the scenario has no expectations, want at least one line with '>'")
			}
		})
	}
}

// scenario runs the lines of one file against a router.
type scenario struct {
	test       *testing.T
	notation   notation
	position   string // file and line
	settings   options
	classes    []RequestClass
	router     Router
	now        Micros
	timers     []Micros
	builds     map[uint32]int    // by endpoint
	endpointOf map[uint64]uint32 // by request; the endpoint of the request's attempt in flight
	load       []float32         // load report that is sent with results
	commands   []Command
	eventStart int // index of the first command since the last event line
	checks     int
}

// options are the KEY=VALUE words of a line. A word without a value has the value 1.
type options map[string]string

func parseOptions(words []string) options {
	parsed := options{}
	for _, token := range words {
		key, value, hasValue := strings.Cut(token, "=")
		if !hasValue {
			value = "1"
		}
		parsed[key] = value
	}
	return parsed
}

func runScenario(t *testing.T, file string) *scenario {
	t.Helper()
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	s := &scenario{test: t, notation: oldNotation(), settings: options{}, builds: map[uint32]int{}, endpointOf: map[uint64]uint32{}}
	lines := bufio.NewScanner(strings.NewReader(string(content)))
	for number := 1; lines.Scan(); number++ {
		s.position = fmt.Sprintf("%s:%d", filepath.Base(file), number)
		statement, _, _ := strings.Cut(lines.Text(), "#")
		if words := strings.Fields(statement); len(words) > 0 {
			s.runLine(s.notation.translateLine(words))
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *scenario) runLine(words []string) {
	switch words[0] {
	case "agent":
		s.settings = parseOptions(words[1:])
	case "class":
		s.classes = append(s.classes, s.requestClass(words[1], parseOptions(words[2:])))
	case ">":
		s.expect(words[1:])
	default:
		s.advanceTo(s.milliseconds(words[0]))
		s.runEvent(words[1], words[2:])
	}
}

func (s *scenario) number(token string) float64 {
	value, err := strconv.ParseFloat(token, 64)
	if err != nil {
		s.test.Fatalf("%s: %q is not a number", s.position, token)
	}
	return value
}

func (s *scenario) milliseconds(token string) Micros { return Micros(s.number(token)) * millisecond }

// option returns the number that the option key has, or byDefault if the option is not given.
func (s *scenario) option(from options, key string, byDefault float64) float64 {
	if value, isGiven := from[key]; isGiven {
		return s.number(value)
	}
	return byDefault
}

// duration returns an option that is given in milliseconds.
func (s *scenario) duration(from options, key string, byDefault float64) Micros {
	return Micros(s.option(from, key, byDefault)) * millisecond
}

func (s *scenario) count(from options, key string, byDefault float64) int {
	return int(s.option(from, key, byDefault))
}

func (s *scenario) requestClass(kind string, given options) RequestClass {
	kinds := map[string]Idempotency{"idempotent": Idempotent, "keyed": Keyed, "non-idempotent": NonIdempotent}
	scopes := map[string]DedupScope{"": DedupAll, "zone": DedupZone, "cell": DedupCell}
	return RequestClass{
		Idempotency:      kinds[kind],
		DedupScope:       scopes[given["dedup-scope"]],
		DedupWindow:      s.duration(given, "dedup-window", 0),
		LatencyObjective: s.duration(given, "objective", 1000),
		Timeout:          s.duration(given, "timeout", 3000),
		PriorityWeight:   s.option(given, "priority", 1),
	}
}

// start creates the router from the settings.
func (s *scenario) start() {
	given := s.settings
	var caps []float64
	for _, token := range strings.Split(given["caps"], ",") {
		caps = append(caps, s.number(token))
	}
	if evaluator, isEvaluator := strings.CutPrefix(given["index"], "EVALUATOR"); isEvaluator {
		given["index"] = strconv.Itoa(s.agentIndex(evaluator))
	}
	votingRules := map[string]VotingRule{"": AnyVote, "share": VoteShare, "timer": TimedStages}
	loadReports := map[string]LoadReportFormat{"1": {Utilization: 1, Rate: 2}, "": {InFlight: s.count(given, "in-flight-field", 0)}}
	s.router = New(Config{
		Instance: Instance{
			Index: s.count(given, "index", 0), Agents: s.count(given, "agents", 1), Seed: 7,
			KeyAffinity: given["key-affinity"] != "", HasWeights: given["no-weights"] == "", LoadReport: loadReports[given["load-reports"]],
		},
		Classes: s.classes,
		RolloutPlan: RolloutPlan{
			Caps: caps, GuardedStages: s.count(given, "guarded-stages", 0),
			KeysNeverGoBack: given["keys-never-go-back"] != "", ReplacesInPlace: given["replaces-in-place"] != "",
		},
		VotingRules: VotingRules{
			Rule: votingRules[given["voting-rule"]], VoteLifetime: s.duration(given, "vote-lifetime", 4000),
			MetricsInterval: s.duration(given, "metrics-interval", 0), CallsPerSecond: s.option(given, "calls-per-second", 0),
			VotesToAdvance: s.count(given, "votes-to-advance", 0), VotesToRollback: s.count(given, "votes-to-rollback", 1),
		},
		ExposureLimit: ExposureLimit{
			Window: s.duration(given, "window", 4000), Allowance: s.option(given, "allowance", 3), PerClass: given["per-class"] != "",
		},
		SlowStart: SlowStart{
			InitialCapacity: s.option(given, "initial-capacity", 0.3), Duration: s.duration(given, "warm-up", 5000),
			OverloadMultiple: s.option(given, "overload-multiple", 2), OverloadAfter: s.duration(given, "overload-after", 1500),
		},
		RetryLimits:  RetryLimits{MaxAttempts: s.count(given, "max-attempts", 3)},
		Capabilities: Capabilities{PollsEndpoints: given["polls"] != "", HealthChecks: given["health-checks"] != "", Gossip: given["gossip"] != ""},
	})
}

// agentIndex returns the agent index of the evaluator at position token of the group. A token of evaluatorCount or more is itself
// an agent index.
func (s *scenario) agentIndex(token string) int {
	number := int(s.number(token))
	evaluators := selectAgents(s.count(s.settings, "agents", 1), evaluatorCount)
	if number < len(evaluators) {
		return evaluators[number]
	}
	return number
}

func (s *scenario) handle(event Event) {
	for _, command := range s.router.Handle(s.now, event) {
		switch command := command.(type) {
		case SetTimer:
			s.timers = append(s.timers, command.At)
			continue
		case SendAttempt:
			s.endpointOf[command.RequestID] = command.EndpointID
		}
		s.commands = append(s.commands, command)
	}
}

// advanceTo advances the scenario's time to at. On the way, it fires the timers that are due by then.
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

// describe returns a command's name in the notation, and the figures that a scenario may check.
func (s *scenario) describe(command Command) (token string, figures map[string]float64) {
	switch c := command.(type) {
	case SendAttempt:
		return "attempt", map[string]float64{
			"id": float64(c.RequestID), "to": float64(c.EndpointID),
			"build": float64(s.builds[c.EndpointID]), "write-before": float64(c.WriteBefore / millisecond),
		}
	case CancelAttempt:
		return "cancel", map[string]float64{"id": float64(c.RequestID)}
	case Reject:
		return "reject", map[string]float64{"id": float64(c.RequestID)}
	case Fail:
		return "fail", map[string]float64{"id": float64(c.RequestID)}
	case CheckHealth:
		return "check-health", map[string]float64{"to": float64(c.EndpointID)}
	case SendGossip:
		return "gossip", nil
	case WatchEndpoints:
		return "watch", nil
	case Vote:
		kind := []string{"-none", "-advance", "-hold", "-rollback"}[c.Verdict]
		return "vote" + kind, map[string]float64{"build": float64(c.Build), "stage": float64(c.Stage)}
	case LogMessage:
		return "log", nil
	}
	s.test.Fatalf("%s: the notation has no word for command %T", s.position, command)
	return "", nil
}

// expect checks how many commands since the last event line match a description.
func (s *scenario) expect(words []string) {
	s.checks++
	minCount, maxCount := 1, 1<<30
	if words[0] == "no" {
		minCount, maxCount, words = 0, 0, words[1:]
	}
	kind, wanted := words[0], parseOptions(words[1:])
	if wanted["at-most"] != "" {
		minCount, maxCount = 0, int(s.number(wanted["at-most"]))
	}
	minCount = s.count(wanted, "at-least", float64(minCount))
	count := 0
	recent := s.commands[s.eventStart:]
	for _, command := range recent {
		if s.matches(command, kind, wanted) {
			count++
		}
	}
	if count < minCount || count > maxCount {
		s.test.Errorf("%s: %s: got %d matching commands, want %d to %d; all %d commands: %.600s",
			s.position, strings.Join(words, " "), count, minCount, maxCount, len(recent), fmt.Sprintf("%+v", recent))
	}
}

func (s *scenario) matches(command Command, kind string, wanted options) bool {
	token, figures := s.describe(command)
	if token != kind {
		return false
	}
	for key, value := range wanted {
		if !strings.HasPrefix(key, "at-") && figures[key] != s.number(value) {
			return false
		}
	}
	return true
}
