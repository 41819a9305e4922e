package config

import (
	"errors"
	"strings"
	"testing"
)

const validSettings = `Me=1
Balancers=80
Zone=0
Discovery=subscribe
Grades.count=1
Grades.0.Name=lookup
Grades.0.Repeat=read_like
Grades.0.SloMs=380
Grades.0.HardLimitMs=1670
Grades.0.Worth=1
FamilyInfo.StageCap=0.096,0.48,1
FamilyInfo.StageShare=0.08,0.4,1
FamilyInfo.Shielded=1
FamilyInfo.OneWay=false
FamilyInfo.Swap=in_place
FamilyInfo.VoteStandsMs=4000
FamilyInfo.CallTimeoutMs=800
FamilyInfo.ApiRate=16
FamilyInfo.VotesToGo=1
FamilyInfo.NoesNeeded=1
FamilyInfo.VoteMode=any
FamilyInfo.CountedOverMs=4000
FamilyInfo.Allowance=3
FamilyInfo.CountedBy=all
Safety.ColdFrom=0.31
Safety.ColdMs=3000
Safety.TipMultiple=2
Safety.TipAfterMs=1500
Safety.DrainGraceMs=1000
Safety.GraceToAnswerMs=5
Limits.MaxAttempts=6
`

// An agent does not start if the call rate or the number of agents is invalid, since all agents depend on both. The error
// names the key.
func TestNewRouterChecksRequiredSettings(t *testing.T) {
	if _, err := ParsePairs(validSettings).NewRouter(1); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ key, line, replacement string }{
		{"FamilyInfo.ApiRate", "FamilyInfo.ApiRate=16\n", ""},
		{"FamilyInfo.ApiRate", "FamilyInfo.ApiRate=16\n", "FamilyInfo.ApiRate=0\n"},
		{"FamilyInfo.ApiRate", "FamilyInfo.ApiRate=16\n", "FamilyInfo.ApiRate=-3\n"},
		{"FamilyInfo.ApiRate", "FamilyInfo.ApiRate=16\n", "FamilyInfo.ApiRate=many\n"},
		{"Balancers", "Balancers=80\n", ""},
		{"Balancers", "Balancers=80\n", "Balancers=0\n"},
		{"Balancers", "Balancers=80\n", "Balancers=-1\n"},
		{"Balancers", "Balancers=80\n", "Balancers=1e9\n"},
		{"Balancers", "Balancers=80\n", "Balancers=2.5\n"},
	} {
		text := strings.Replace(validSettings, test.line, test.replacement, 1)
		_, err := ParsePairs(text).NewRouter(1)
		var fault *Error
		if !errors.As(err, &fault) || fault.Key != test.key || !strings.Contains(err.Error(), test.key+" ") {
			t.Errorf("%q for %q: got %v, want an error that names the key", test.replacement, test.line, err)
		}
	}
}

// Costs may be absent, but must not be negative.
func TestNewRouterChecksCosts(t *testing.T) {
	for _, key := range []string{"Charges.CrossZone", "Charges.Waste", "Charges.Probe", "Charges.Peer"} {
		if _, err := ParsePairs(validSettings + key + "=-0.1\n").NewRouter(1); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("negative cost: got %v, want an error that names the key", err)
		}
		if _, err := ParsePairs(validSettings + key + "=0.1\n").NewRouter(1); err != nil {
			t.Error(err)
		}
	}
}

// Optional keys of a deployment may be absent. An agent does not start if one of them is invalid, or if two keys contradict
// each other. The error names the key or both keys.
func TestNewRouterChecksDeploymentShape(t *testing.T) {
	for _, lines := range []string{
		"",
		"Weights=nominal\n",
		"Weights=off\nFeedback.How=inline\nFeedback.Fields=utilization,throughput\n",
		"FamilyInfo.TallyEveryMs=2000\nFamilyInfo.TallySample=0.1\n",
		"FamilyInfo.TallyEveryMs=0\nFamilyInfo.TallySample=0\n",
		"Limits.ParallelTries=true\n",
	} {
		if _, err := ParsePairs(validSettings + lines).NewRouter(1); err != nil {
			t.Errorf("%q: %v", lines, err)
		}
	}
	for lines, want := range map[string]string{
		"Weights=heavy\n":        `setting Weights is "heavy"`,
		"Feedback.How=shouted\n": `setting Feedback.How is "shouted"`,
		"FamilyInfo.TallyEveryMs=-1\nFamilyInfo.TallySample=0.1\n":    "setting FamilyInfo.TallyEveryMs is -1",
		"FamilyInfo.TallyEveryMs=often\nFamilyInfo.TallySample=0.1\n": `setting FamilyInfo.TallyEveryMs is "often"`,
		"FamilyInfo.TallyEveryMs=2000\nFamilyInfo.TallySample=1.5\n":  "setting FamilyInfo.TallySample is 1.5",
		"FamilyInfo.TallyEveryMs=2000\n":                              "setting FamilyInfo.TallySample is 0, but FamilyInfo.TallyEveryMs is 2000",
		"Feedback.How=on_probe\nLimits.Probes=false\n":                `setting Feedback.How is "on_probe", but Limits.Probes is false`,
		"Feedback.How=inline\n":                                       "setting Feedback.Fields names no load report field, but Feedback.How",
		"Limits.ParallelTries=true\nLimits.MaxAttempts=1\n":           "setting Limits.ParallelTries is true, but Limits.MaxAttempts is 1",
		"Grades.0.SloMs=0\n":                                          "setting Grades.0.SloMs is 0, expected more than 0: no answer could be in time",
		"Grades.count=0\n":                                            "setting Grades has no request class",
		"FamilyInfo.VoteMode=timer\n":                                 "setting FamilyInfo.VotesToGo is 1, but FamilyInfo.VoteMode is timer",
	} {
		if _, err := ParsePairs(validSettings + lines).NewRouter(1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want %q", lines, err, want)
		}
	}
}
