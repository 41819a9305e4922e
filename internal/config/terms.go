// Package config is the one place where what is told at the start is read, checked and given its defaults: the
// GW_* variables and the JSON beside them for the real agent, path=value pairs for the simulator. It turns the
// settings into the module's start for both. It decides nothing, and no other package reads the environment.
package config

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"switchfork/internal/policy"
)

// Settings are the settings as path=value pairs; the first thing that is wrong with them sticks.
type Settings struct {
	prefix string // what stands before a path in messages
	values map[string]string
	err    error
}

// ParsePairs reads terms from lines of path=value.
func ParsePairs(text string) *Settings {
	t := &Settings{values: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			t.values[k] = v
		}
	}
	return t
}

// parseJSON turns a JSON object into the same pairs: dots between names, .count and .0 for lists of objects,
// commas between plain values.
func parseJSON(under string, raw []byte) (*Settings, error) {
	var root any
	if err := json.Unmarshal(raw, &root); err != nil {
		return nil, fmt.Errorf("%s: %w", under, err)
	}
	if _, ok := root.(map[string]any); !ok {
		return nil, fmt.Errorf("%s is not an object", under)
	}
	t := &Settings{prefix: under + ".", values: map[string]string{}}
	t.flatten("", root)
	return t, nil
}

func (t *Settings) flatten(path string, v any) {
	under := func(key string) string { return strings.TrimPrefix(path+"."+key, ".") }
	switch v := v.(type) {
	case map[string]any:
		for k, inner := range v {
			t.flatten(under(k), inner)
		}
	case []any:
		var plain []string
		for i, inner := range v {
			switch inner.(type) {
			case map[string]any, []any:
				t.flatten(under(strconv.Itoa(i)), inner)
			default:
				plain = append(plain, formatScalar(inner))
			}
		}
		if len(plain) < len(v) || len(v) == 0 {
			t.values[under("count")] = strconv.Itoa(len(v))
		} else {
			t.values[path] = strings.Join(plain, ",")
		}
	case nil:
	default:
		t.values[path] = formatScalar(v)
	}
}

func formatScalar(v any) string {
	if f, ok := v.(float64); ok {
		return strconv.FormatFloat(f, 'g', -1, 64)
	}
	return fmt.Sprint(v)
}

func (t *Settings) recordError(key, why string) {
	if t.err == nil {
		t.err = fmt.Errorf("setting %s%s %s", t.prefix, key, why)
	}
}

// Err tells what was wrong first.
func (t *Settings) Err() error { return t.err }

func (t *Settings) text(key string) string {
	v, ok := t.values[key]
	if !ok {
		t.recordError(key, "is missing")
	}
	return v
}

func (t *Settings) float(key string) float64 {
	s := t.text(key)
	if t.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		t.recordError(key, fmt.Sprintf("is %q, not a number", s))
	}
	return v
}

func (t *Settings) isSet(key string) bool { _, ok := t.values[key]; return ok }

// floatOrDefault is num for a key that may be absent.
func (t *Settings) floatOrDefault(key string, def float64) float64 {
	if !t.isSet(key) {
		return def
	}
	return t.float(key)
}

func (t *Settings) integer(key string) int {
	v := t.float(key)
	if v != math.Trunc(v) || v < 0 || v > 1e6 {
		t.recordError(key, fmt.Sprintf("is %v, not a count", v))
		return 0
	}
	return int(v)
}

func (t *Settings) micros(key string) int64 {
	v := t.float(key)
	if v < 0 || v > 1e12 {
		t.recordError(key, fmt.Sprintf("is %v, not a span of time", v))
		return 0
	}
	return int64(math.Round(v * 1000))
}

func (t *Settings) boolean(key string) bool {
	return t.isSet(key) && enum(t, key, map[string]bool{"true": true, "false": false})
}

func (t *Settings) textList(key string) []string {
	if v := t.values[key]; v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

func (t *Settings) floatList(key string) []float64 {
	var out []float64
	for _, s := range strings.Split(t.text(key), ",") {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil {
			t.recordError(key, fmt.Sprintf("holds %q, not a number", s))
		}
		out = append(out, v)
	}
	return out
}

func enum[T any](t *Settings, key string, known map[string]T) T {
	s := t.text(key)
	v, ok := known[s]
	if !ok {
		t.recordError(key, fmt.Sprintf("is %q, a word not known here", s))
	}
	return v
}

func classKey(i int, key string) string { return fmt.Sprintf("Grades.%d.%s", i, key) }

func (t *Settings) idempotency(i int) policy.Idempotency {
	return enum(t, classKey(i, "Repeat"), map[string]policy.Idempotency{
		"read_like":       policy.Idempotent,
		"idempotency_key": policy.Keyed, "non_idempotent": policy.NonIdempotent,
	})
}

// hasWeights tells whether the list tells the sizes of appliances; where the key is absent it does, as it always did.
func (t *Settings) hasWeights() bool {
	return !t.isSet("Weights") || enum(t, "Weights", map[string]bool{"off": false, "none": false, "nominal": true, "rough": true, "live": true})
}

// hasLoadReports tells whether load reports come with answers; a key that is absent means none.
func (t *Settings) hasLoadReports() bool {
	return t.isSet("Feedback.How") && enum(t, "Feedback.How",
		map[string]bool{"inline": true, "answers": true, "on_probe": false, "probe": false, "off": false, "none": false})
}

// loadReportFormat tells where the figures stand that the module reads, by the simulator's names and the users'; others are passed over.
func (t *Settings) loadReportFormat() (r policy.LoadReportFormat) {
	if !t.hasLoadReports() {
		return r
	}
	for i, field := range t.textList("Feedback.Fields") {
		switch field {
		case "utilization", "util":
			r.Utilization = i + 1
		case "throughput", "qps":
			r.Rate = i + 1
		case "outstanding", "inflight":
			r.InFlight = i + 1
		}
	}
	return r
}

// metricsInterval is how often the launcher tells what it counted; 0 where it does not.
func (t *Settings) metricsInterval() (every policy.Micros) {
	if t.isSet("FamilyInfo.TallyEveryMs") {
		every = t.micros("FamilyInfo.TallyEveryMs")
	}
	sample := t.floatOrDefault("FamilyInfo.TallySample", 0)
	if sample < 0 || sample > 1 {
		t.recordError("FamilyInfo.TallySample", fmt.Sprintf("is %v, not a share from 0 to 1", sample))
	}
	if every > 0 && sample == 0 {
		t.recordError("FamilyInfo.TallySample", fmt.Sprintf("is 0, but %sFamilyInfo.TallyEveryMs is %v: counts of nothing", t.prefix, every/1000))
	}
	return every
}

// checkContradictions refuses settings of two shapes of deployment in one configuration: what one key promises another forbids.
func (t *Settings) checkContradictions() {
	if how := t.values["Feedback.How"]; (how == "on_probe" || how == "probe") && t.isSet("Limits.Probes") && !t.boolean("Limits.Probes") {
		t.recordError("Feedback.How", fmt.Sprintf("is %q, but %sLimits.Probes is false: no report would come; expected inline or off", how, t.prefix))
	}
	if t.hasLoadReports() && len(t.textList("Feedback.Fields")) == 0 {
		t.recordError("Feedback.Fields", fmt.Sprintf("names no figure, but %sFeedback.How is %q", t.prefix, t.values["Feedback.How"]))
	}
	if most := t.integer("Limits.MaxAttempts"); t.boolean("Limits.ParallelTries") && most < 2 {
		t.recordError("Limits.ParallelTries", fmt.Sprintf("is true, but %sLimits.MaxAttempts is %d: there is no second copy", t.prefix, most))
	}
	if t.values["FamilyInfo.VoteMode"] == "timer" && t.floatOrDefault("FamilyInfo.VotesToGo", 0) > 0 {
		t.recordError("FamilyInfo.VotesToGo", fmt.Sprintf("is %v, but %sFamilyInfo.VoteMode is timer: no vote moves a stage on", t.values["FamilyInfo.VotesToGo"], t.prefix))
	}
}

// NewRouter starts a module on these terms.
func (t *Settings) NewRouter(seed uint64) (policy.Router, error) {
	instance := policy.Instance{
		Index: t.integer("Me"), Agents: t.integer("Balancers"), Zone: t.integer("Zone"), Seed: int64(seed),
		KeyAffinity: t.boolean("FamilyInfo.WarmKeys"), HasWeights: t.hasWeights(), LoadReport: t.loadReportFormat(),
	}
	t.checkContradictions()
	if instance.Agents < 1 {
		t.recordError("Balancers", fmt.Sprintf("is %d; there is one agent at least, this one", instance.Agents))
	}
	if instance.Index >= instance.Agents {
		t.recordError("Me", fmt.Sprintf("is %d of %d agents", instance.Index, instance.Agents))
	}
	classes := make([]policy.RequestClass, t.integer("Grades.count"))
	if len(classes) == 0 {
		t.recordError("Grades", "has no product")
	}
	for i := range classes {
		class := &classes[i]
		if class.Idempotency = t.idempotency(i); class.Idempotency == policy.Keyed {
			class.DedupScope = enum(t, classKey(i, "KeyScope"), map[string]policy.DedupScope{
				"all":  policy.DedupAll,
				"zone": policy.DedupZone, "cell": policy.DedupCell,
			})
			class.DedupWindow = t.micros(classKey(i, "WindowMs"))
		}
		if class.LatencyObjective, class.Timeout = t.micros(classKey(i, "SloMs")), t.micros(classKey(i, "HardLimitMs")); class.LatencyObjective <= 0 {
			t.recordError(classKey(i, "SloMs"), "is 0; no answer could be in time")
		}
		class.PriorityWeight, class.LateWeightShare = t.float(classKey(i, "Worth")), t.floatOrDefault(classKey(i, "LateValue"), 0)
	}
	plan := policy.RolloutPlan{
		Caps: t.floatList("FamilyInfo.StageCap"), Shares: t.floatList("FamilyInfo.StageShare"),
		GuardedStages: t.integer("FamilyInfo.Shielded"), KeysNeverGoBack: t.boolean("FamilyInfo.OneWay"),
		ReplacesInPlace: enum(t, "FamilyInfo.Swap", map[string]bool{"in_place": true, "beside": false}),
	}
	voting := policy.VotingRules{
		VoteLifetime: t.micros("FamilyInfo.VoteStandsMs"), CallTimeout: t.micros("FamilyInfo.CallTimeoutMs"),
		CallsPerSecond: t.float("FamilyInfo.ApiRate"), VotesToAdvance: t.integer("FamilyInfo.VotesToGo"),
		VotesToRollBack: t.integer("FamilyInfo.NoesNeeded"), Rule: enum(t, "FamilyInfo.VoteMode", map[string]policy.VotingRule{
			"any": policy.AnyVote, "share": policy.VoteShare, "timer": policy.TimedStages,
		}),
	}
	voting.MetricsInterval = t.metricsInterval()
	exposure := policy.ExposureLimit{
		Window: t.micros("FamilyInfo.CountedOverMs"), Allowance: t.float("FamilyInfo.Allowance"),
		PerClass: enum(t, "FamilyInfo.CountedBy", map[string]bool{"class": true, "all": false}),
	}
	slowStart := policy.SlowStart{
		InitialCapacity: t.float("Safety.ColdFrom"), Duration: t.micros("Safety.ColdMs"),
		OverloadMultiple: t.float("Safety.TipMultiple"), OverloadAfter: t.micros("Safety.TipAfterMs"),
	}
	limits := policy.RetryLimits{
		DrainGrace: t.micros("Safety.DrainGraceMs"), AnswerGrace: t.micros("Safety.GraceToAnswerMs"),
		MaxAttempts: t.integer("Limits.MaxAttempts"),
	}
	if t.boolean("Limits.RetryAfter") {
		limits.MaxRetryAfter = t.micros("Limits.MaxRetryAfterMs")
	}
	capabilities := policy.Capabilities{
		HealthChecks: t.boolean("Limits.Probes"), Cancellation: t.boolean("Limits.Cancel"),
		Gossip:          t.boolean("Limits.MayTell"),
		EndpointPolling: enum(t, "Discovery", map[string]bool{"subscribe": true, "automatic": false}),
	}
	costs := policy.CostWeights{
		CrossZone: t.floatOrDefault("Charges.CrossZone", 0), Waste: t.floatOrDefault("Charges.Waste", 0),
		HealthCheck: t.floatOrDefault("Charges.Probe", 0), Gossip: t.floatOrDefault("Charges.Peer", 0),
	}
	if voting.CallsPerSecond <= 0 {
		t.recordError("FamilyInfo.ApiRate", fmt.Sprintf("is %v, no rate of calls a second", voting.CallsPerSecond))
	}
	for _, key := range []string{"CrossZone", "Waste", "Probe", "Peer"} {
		if v := t.floatOrDefault("Charges."+key, 0); v < 0 {
			t.recordError("Charges."+key, fmt.Sprintf("is %v, a price under 0", v))
		}
	}
	if t.err != nil {
		return nil, t.err
	}
	return policy.New(instance, classes, plan, voting, exposure, slowStart, limits, capabilities, costs), nil
}

// Voting are how votes are counted, and who casts them; times in microseconds.
type Voting struct {
	Index, Agents             int
	Rule                      policy.VotingRule
	VotesToAdvance            int
	VotesToRollBack           int
	CallTimeout, VoteLifetime policy.Micros
}

// Voting reads them; what is wrong there is found when the module is opened.
func (t *Settings) Voting() Voting {
	return Voting{
		Index: t.integer("Me"), Agents: t.integer("Balancers"), VotesToAdvance: t.integer("FamilyInfo.VotesToGo"), VotesToRollBack: t.integer("FamilyInfo.NoesNeeded"),
		CallTimeout: t.micros("FamilyInfo.CallTimeoutMs"), VoteLifetime: t.micros("FamilyInfo.VoteStandsMs"), Rule: enum(t, "FamilyInfo.VoteMode",
			map[string]policy.VotingRule{"any": policy.AnyVote, "share": policy.VoteShare, "timer": policy.TimedStages}),
	}
}
