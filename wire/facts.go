package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"switchfork/brain"
)

// facts are the path=value pairs of an instance's first message.
type facts struct {
	pairs map[string]string
	err   error
}

func parseFacts(text string) *facts {
	f := &facts{pairs: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			f.pairs[k] = v
		}
	}
	return f
}

func (f *facts) fail(key, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("setting %s %s", key, why)
	}
}

func (f *facts) str(key string) string {
	v, ok := f.pairs[key]
	if !ok {
		f.fail(key, "is missing")
	}
	return v
}

func (f *facts) num(key string) float64 {
	s := f.str(key)
	if f.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(key, fmt.Sprintf("is %q, not a number", s))
	}
	return v
}

func (f *facts) has(key string) bool { _, ok := f.pairs[key]; return ok }

// opt is num for a key that may be absent; absent reads as zero.
func (f *facts) opt(key string) float64 {
	if !f.has(key) {
		return 0
	}
	return f.num(key)
}

func (f *facts) count(key string) int {
	v := f.num(key)
	if v != math.Trunc(v) || v < 0 || v > 1e6 {
		f.fail(key, fmt.Sprintf("is %v, not a count", v))
		return 0
	}
	return int(v)
}

func (f *facts) ms(key string) int64 { return int64(math.Round(f.num(key) * 1000)) }

func (f *facts) flag(key string) bool {
	if !f.has(key) {
		return false
	}
	return pick(f, key, map[string]bool{"true": true, "false": false})
}

func (f *facts) list(key string) []float64 {
	var out []float64
	for _, s := range strings.Split(f.str(key), ",") {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil {
			f.fail(key, fmt.Sprintf("holds %q, not a number", s))
		}
		out = append(out, v)
	}
	return out
}

func pick[T any](f *facts, key string, words map[string]T) T {
	s := f.str(key)
	v, ok := words[s]
	if !ok {
		f.fail(key, fmt.Sprintf("is %q, a word not known here", s))
	}
	return v
}

// open starts a module from an instance's first message.
func open(seed uint64, env string) (brain.Router, error) {
	f := parseFacts(env)
	st := brain.Station{Me: f.count("Me"), Agents: f.count("Balancers"), Zone: f.count("Zone"), Seed: int64(seed),
		WarmKeys: f.flag("FamilyInfo.WarmKeys")}
	products := make([]brain.Product, f.count("Grades.count"))
	for i := range products {
		at := func(k string) string { return fmt.Sprintf("Grades.%d.%s", i, k) }
		p := &products[i]
		p.Effect = pick(f, at("Repeat"), map[string]brain.Effect{"read_like": brain.InquiryLike,
			"idempotency_key": brain.Referenced, "non_idempotent": brain.OnceOnly})
		if p.Effect == brain.Referenced {
			p.Group = pick(f, at("KeyScope"), map[string]brain.Scope{"all": brain.ScopeAll,
				"zone": brain.ScopeZone, "cell": brain.ScopeCell})
			p.Memory = f.ms(at("WindowMs"))
		}
		p.SLA, p.Expiry = f.ms(at("SloMs")), f.ms(at("HardLimitMs"))
		p.Revenue, p.LateShare = f.num(at("Worth")), f.opt(at("LateValue"))
	}
	plan := brain.LaunchPlan{Caps: f.list("FamilyInfo.StageCap"), Shares: f.list("FamilyInfo.StageShare"),
		Guarded: f.count("FamilyInfo.Shielded"), OneWay: f.flag("FamilyInfo.OneWay"),
		InPlace: pick(f, "FamilyInfo.Swap", map[string]bool{"in_place": true, "beside": false})}
	polling := brain.Polling{Stands: f.ms("FamilyInfo.VoteStandsMs"), Patience: f.ms("FamilyInfo.CallTimeoutMs"),
		CallsPerS: f.num("FamilyInfo.ApiRate"), ToGo: f.count("FamilyInfo.VotesToGo"), ToGoBack: f.count("FamilyInfo.NoesNeeded"), Ballot: pick(f, "FamilyInfo.VoteMode", map[string]brain.Ballot{
			"any": brain.BallotAny, "share": brain.BallotShare, "timer": brain.BallotTimer})}
	count := brain.Exposure{Window: f.ms("FamilyInfo.CountedOverMs"), Free: f.num("FamilyInfo.Allowance"),
		ByProduct: pick(f, "FamilyInfo.CountedBy", map[string]bool{"class": true, "all": false})}
	cold := brain.ColdStart{From: f.num("Safety.ColdFrom"), Warm: f.ms("Safety.ColdMs"),
		Multiple: f.num("Safety.TipMultiple"), After: f.ms("Safety.TipAfterMs")}
	hand := brain.Handover{DrainGrace: f.ms("Safety.DrainGraceMs"), AnswerGrace: f.ms("Safety.GraceToAnswerMs"),
		MaxSubmissions: f.count("Limits.MaxAttempts")}
	if f.flag("Limits.RetryAfter") {
		hand.MaxHoldOff = f.ms("Limits.MaxRetryAfterMs")
	}
	may := brain.Licence{Probe: f.flag("Limits.Probes"), CallOff: f.flag("Limits.Cancel"),
		Tell: f.flag("Limits.MayTell"),
		Ask:  pick(f, "Discovery", map[string]bool{"subscribe": true, "automatic": false})}
	fares := brain.Fares{CrossZone: f.opt("Charges.CrossZone"), Waste: f.opt("Charges.Waste"),
		Probe: f.opt("Charges.Probe"), Tell: f.opt("Charges.Peer")}
	if f.err != nil {
		return nil, f.err
	}
	return brain.New(st, products, plan, polling, count, cold, hand, may, fares), nil
}
