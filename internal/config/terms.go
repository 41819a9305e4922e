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
	under string // what stands before a path in messages
	pairs map[string]string
	err   error
}

// ParsePairs reads terms from lines of path=value.
func ParsePairs(text string) *Settings {
	t := &Settings{pairs: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			t.pairs[k] = v
		}
	}
	return t
}

// nested turns a JSON object into the same pairs: dots between names, .count and .0 for lists of objects,
// commas between plain values.
func nested(under string, raw []byte) (*Settings, error) {
	var root any
	if err := json.Unmarshal(raw, &root); err != nil {
		return nil, fmt.Errorf("%s: %w", under, err)
	}
	if _, ok := root.(map[string]any); !ok {
		return nil, fmt.Errorf("%s is not an object", under)
	}
	t := &Settings{under: under + ".", pairs: map[string]string{}}
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
				plain = append(plain, scalar(inner))
			}
		}
		if len(plain) < len(v) || len(v) == 0 {
			t.pairs[under("count")] = strconv.Itoa(len(v))
		} else {
			t.pairs[path] = strings.Join(plain, ",")
		}
	case nil:
	default:
		t.pairs[path] = scalar(v)
	}
}

func scalar(v any) string {
	if f, ok := v.(float64); ok {
		return strconv.FormatFloat(f, 'g', -1, 64)
	}
	return fmt.Sprint(v)
}

func (t *Settings) fail(key, why string) {
	if t.err == nil {
		t.err = fmt.Errorf("setting %s%s %s", t.under, key, why)
	}
}

// Err tells what was wrong first.
func (t *Settings) Err() error { return t.err }

func (t *Settings) str(key string) string {
	v, ok := t.pairs[key]
	if !ok {
		t.fail(key, "is missing")
	}
	return v
}

func (t *Settings) num(key string) float64 {
	s := t.str(key)
	if t.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		t.fail(key, fmt.Sprintf("is %q, not a number", s))
	}
	return v
}

func (t *Settings) has(key string) bool { _, ok := t.pairs[key]; return ok }

// opt is num for a key that may be absent.
func (t *Settings) opt(key string, def float64) float64 {
	if !t.has(key) {
		return def
	}
	return t.num(key)
}

func (t *Settings) count(key string) int {
	v := t.num(key)
	if v != math.Trunc(v) || v < 0 || v > 1e6 {
		t.fail(key, fmt.Sprintf("is %v, not a count", v))
		return 0
	}
	return int(v)
}

func (t *Settings) ms(key string) int64 {
	v := t.num(key)
	if v < 0 || v > 1e12 {
		t.fail(key, fmt.Sprintf("is %v, not a span of time", v))
		return 0
	}
	return int64(math.Round(v * 1000))
}

func (t *Settings) flag(key string) bool {
	return t.has(key) && pick(t, key, map[string]bool{"true": true, "false": false})
}

func (t *Settings) words(key string) []string {
	if v := t.pairs[key]; v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

func (t *Settings) list(key string) []float64 {
	var out []float64
	for _, s := range strings.Split(t.str(key), ",") {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil {
			t.fail(key, fmt.Sprintf("holds %q, not a number", s))
		}
		out = append(out, v)
	}
	return out
}

func pick[T any](t *Settings, key string, known map[string]T) T {
	s := t.str(key)
	v, ok := known[s]
	if !ok {
		t.fail(key, fmt.Sprintf("is %q, a word not known here", s))
	}
	return v
}

func grade(i int, key string) string { return fmt.Sprintf("Grades.%d.%s", i, key) }

func (t *Settings) effect(i int) policy.Idempotency {
	return pick(t, grade(i, "Repeat"), map[string]policy.Idempotency{
		"read_like":       policy.Idempotent,
		"idempotency_key": policy.Keyed, "non_idempotent": policy.NonIdempotent,
	})
}

// sized tells whether the list tells the sizes of appliances; where the key is absent it does, as it always did.
func (t *Settings) sized() bool {
	return !t.has("Weights") || pick(t, "Weights", map[string]bool{"off": false, "none": false, "nominal": true, "rough": true, "live": true})
}

// reported tells whether load reports come with answers; a key that is absent means none.
func (t *Settings) reported() bool {
	return t.has("Feedback.How") && pick(t, "Feedback.How",
		map[string]bool{"inline": true, "answers": true, "on_probe": false, "probe": false, "off": false, "none": false})
}

// report tells where the figures stand that the module reads, by the simulator's names and the users'; others are passed over.
func (t *Settings) report() (r policy.LoadReportFormat) {
	if !t.reported() {
		return r
	}
	for i, field := range t.words("Feedback.Fields") {
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

// tally is how often the launcher tells what it counted; 0 where it does not.
func (t *Settings) tally() (every policy.Micros) {
	if t.has("FamilyInfo.TallyEveryMs") {
		every = t.ms("FamilyInfo.TallyEveryMs")
	}
	sample := t.opt("FamilyInfo.TallySample", 0)
	if sample < 0 || sample > 1 {
		t.fail("FamilyInfo.TallySample", fmt.Sprintf("is %v, not a share from 0 to 1", sample))
	}
	if every > 0 && sample == 0 {
		t.fail("FamilyInfo.TallySample", fmt.Sprintf("is 0, but %sFamilyInfo.TallyEveryMs is %v: counts of nothing", t.under, every/1000))
	}
	return every
}

// unmixed refuses settings of two shapes of deployment in one configuration: what one key promises another forbids.
func (t *Settings) unmixed() {
	if how := t.pairs["Feedback.How"]; (how == "on_probe" || how == "probe") && t.has("Limits.Probes") && !t.flag("Limits.Probes") {
		t.fail("Feedback.How", fmt.Sprintf("is %q, but %sLimits.Probes is false: no report would come; expected inline or off", how, t.under))
	}
	if t.reported() && len(t.words("Feedback.Fields")) == 0 {
		t.fail("Feedback.Fields", fmt.Sprintf("names no figure, but %sFeedback.How is %q", t.under, t.pairs["Feedback.How"]))
	}
	if most := t.count("Limits.MaxAttempts"); t.flag("Limits.ParallelTries") && most < 2 {
		t.fail("Limits.ParallelTries", fmt.Sprintf("is true, but %sLimits.MaxAttempts is %d: there is no second copy", t.under, most))
	}
	if t.pairs["FamilyInfo.VoteMode"] == "timer" && t.opt("FamilyInfo.VotesToGo", 0) > 0 {
		t.fail("FamilyInfo.VotesToGo", fmt.Sprintf("is %v, but %sFamilyInfo.VoteMode is timer: no vote moves a stage on", t.pairs["FamilyInfo.VotesToGo"], t.under))
	}
}

// NewRouter starts a module on these terms.
func (t *Settings) NewRouter(seed uint64) (policy.Router, error) {
	st := policy.Instance{
		Index: t.count("Me"), Agents: t.count("Balancers"), Zone: t.count("Zone"), Seed: int64(seed),
		KeyAffinity: t.flag("FamilyInfo.WarmKeys"), HasWeights: t.sized(), LoadReport: t.report(),
	}
	t.unmixed()
	if st.Agents < 1 {
		t.fail("Balancers", fmt.Sprintf("is %d; there is one agent at least, this one", st.Agents))
	}
	if st.Index >= st.Agents {
		t.fail("Me", fmt.Sprintf("is %d of %d agents", st.Index, st.Agents))
	}
	products := make([]policy.RequestClass, t.count("Grades.count"))
	if len(products) == 0 {
		t.fail("Grades", "has no product")
	}
	for i := range products {
		p := &products[i]
		if p.Idempotency = t.effect(i); p.Idempotency == policy.Keyed {
			p.DedupScope = pick(t, grade(i, "KeyScope"), map[string]policy.DedupScope{
				"all":  policy.DedupAll,
				"zone": policy.DedupZone, "cell": policy.DedupCell,
			})
			p.DedupWindow = t.ms(grade(i, "WindowMs"))
		}
		if p.LatencyObjective, p.Timeout = t.ms(grade(i, "SloMs")), t.ms(grade(i, "HardLimitMs")); p.LatencyObjective <= 0 {
			t.fail(grade(i, "SloMs"), "is 0; no answer could be in time")
		}
		p.PriorityWeight, p.LateWeightShare = t.num(grade(i, "Worth")), t.opt(grade(i, "LateValue"), 0)
	}
	plan := policy.RolloutPlan{
		Caps: t.list("FamilyInfo.StageCap"), Shares: t.list("FamilyInfo.StageShare"),
		GuardedStages: t.count("FamilyInfo.Shielded"), KeysNeverGoBack: t.flag("FamilyInfo.OneWay"),
		ReplacesInPlace: pick(t, "FamilyInfo.Swap", map[string]bool{"in_place": true, "beside": false}),
	}
	polling := policy.VotingRules{
		VoteLifetime: t.ms("FamilyInfo.VoteStandsMs"), CallTimeout: t.ms("FamilyInfo.CallTimeoutMs"),
		CallsPerSecond: t.num("FamilyInfo.ApiRate"), VotesToAdvance: t.count("FamilyInfo.VotesToGo"),
		VotesToRollBack: t.count("FamilyInfo.NoesNeeded"), Rule: pick(t, "FamilyInfo.VoteMode", map[string]policy.VotingRule{
			"any": policy.AnyVote, "share": policy.VoteShare, "timer": policy.TimedStages,
		}),
	}
	polling.MetricsInterval = t.tally()
	count := policy.ExposureLimit{
		Window: t.ms("FamilyInfo.CountedOverMs"), Allowance: t.num("FamilyInfo.Allowance"),
		PerClass: pick(t, "FamilyInfo.CountedBy", map[string]bool{"class": true, "all": false}),
	}
	cold := policy.SlowStart{
		InitialCapacity: t.num("Safety.ColdFrom"), Duration: t.ms("Safety.ColdMs"),
		OverloadMultiple: t.num("Safety.TipMultiple"), OverloadAfter: t.ms("Safety.TipAfterMs"),
	}
	hand := policy.RetryLimits{
		DrainGrace: t.ms("Safety.DrainGraceMs"), AnswerGrace: t.ms("Safety.GraceToAnswerMs"),
		MaxAttempts: t.count("Limits.MaxAttempts"),
	}
	if t.flag("Limits.RetryAfter") {
		hand.MaxRetryAfter = t.ms("Limits.MaxRetryAfterMs")
	}
	may := policy.Capabilities{
		HealthChecks: t.flag("Limits.Probes"), Cancellation: t.flag("Limits.Cancel"),
		Gossip:          t.flag("Limits.MayTell"),
		EndpointPolling: pick(t, "Discovery", map[string]bool{"subscribe": true, "automatic": false}),
	}
	fares := policy.CostWeights{
		CrossZone: t.opt("Charges.CrossZone", 0), Waste: t.opt("Charges.Waste", 0),
		HealthCheck: t.opt("Charges.Probe", 0), Gossip: t.opt("Charges.Peer", 0),
	}
	if polling.CallsPerSecond <= 0 {
		t.fail("FamilyInfo.ApiRate", fmt.Sprintf("is %v, no rate of calls a second", polling.CallsPerSecond))
	}
	for _, key := range []string{"CrossZone", "Waste", "Probe", "Peer"} {
		if v := t.opt("Charges."+key, 0); v < 0 {
			t.fail("Charges."+key, fmt.Sprintf("is %v, a price under 0", v))
		}
	}
	if t.err != nil {
		return nil, t.err
	}
	return policy.New(st, products, plan, polling, count, cold, hand, may, fares), nil
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
		Index: t.count("Me"), Agents: t.count("Balancers"), VotesToAdvance: t.count("FamilyInfo.VotesToGo"), VotesToRollBack: t.count("FamilyInfo.NoesNeeded"),
		CallTimeout: t.ms("FamilyInfo.CallTimeoutMs"), VoteLifetime: t.ms("FamilyInfo.VoteStandsMs"), Rule: pick(t, "FamilyInfo.VoteMode",
			map[string]policy.VotingRule{"any": policy.AnyVote, "share": policy.VoteShare, "timer": policy.TimedStages}),
	}
}
