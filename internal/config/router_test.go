package config

import (
	"strings"
	"testing"
	"time"
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

// What counts over all agents must be told soundly, or the start ends with the key; prices may be absent.
func TestNewRouterChecksRequiredSettings(t *testing.T) {
	if _, err := ParsePairs(validSettings).NewRouter(1); err != nil {
		t.Fatal(err)
	}
	for from, to := range map[string]string{
		"FamilyInfo.ApiRate=16\n": "", "FamilyInfo.ApiRate=16": "FamilyInfo.ApiRate=0", "ApiRate=16": "ApiRate=-3", "Rate=16": "Rate=many",
		"Balancers=80": "Balancers=0", "Balancers=80\n": "", "rs=80": "rs=-1", "s=80": "s=1e9", "cers=80": "cers=2.5",
	} {
		key := "Balancers"
		if strings.Contains(from, "16") {
			key = "FamilyInfo.ApiRate"
		}
		text := strings.Replace(validSettings, from, to, 1)
		if _, err := ParsePairs(text).NewRouter(1); err == nil || !strings.Contains(err.Error(), key+" ") {
			t.Errorf("%q for %q: %v", to, from, err)
		}
	}
	for _, price := range []string{"CrossZone", "Waste", "Probe", "Peer"} {
		if _, err := ParsePairs(validSettings + "Charges." + price + "=-0.1\n").NewRouter(1); err == nil || !strings.Contains(err.Error(), "Charges."+price) {
			t.Errorf("a negative price: %v", err)
		}
		if _, err := ParsePairs(validSettings + "Charges." + price + "=0.1\n").NewRouter(1); err != nil {
			t.Error(err)
		}
	}
}

// The time in which to ask for the list counts only where it must be asked.
func TestPollWithinAppliesToPollingOnly(t *testing.T) {
	lines := "Limits.DialTimeoutMs=250\nLimits.ConnIdleMs=30000\nSafety.AskWithinMs=10000\n"
	for discovery, want := range map[string]time.Duration{"subscribe": 10 * time.Second, "automatic": 0} {
		settings := ParsePairs(strings.Replace(validSettings, "subscribe", discovery, 1) + lines)
		if connections := settings.Connections(); connections.PollWithin != want || settings.Err() != nil {
			t.Errorf("%s: %v, %v", discovery, connections.PollWithin, settings.Err())
		}
	}
}

// What the module reads of a deployment's shape: absent keys leave it as it was, faulty ones end the start with the key, and
// keys that promise what others forbid are named both.
func TestNewRouterChecksDeploymentShape(t *testing.T) {
	for lines, want := range map[string]string{
		"": "", "Weights=nominal\n": "", "Weights=off\nFeedback.How=inline\nFeedback.Fields=utilization,throughput\n": "",
		"FamilyInfo.TallyEveryMs=2000\nFamilyInfo.TallySample=0.1\n": "", "FamilyInfo.TallyEveryMs=0\nFamilyInfo.TallySample=0\n": "",
		"Limits.ParallelTries=true\n": "",
		"Weights=heavy\n":             "setting Weights is \"heavy\"",
		"Feedback.How=shouted\n":      "setting Feedback.How is \"shouted\"",
		"FamilyInfo.TallyEveryMs=-1\nFamilyInfo.TallySample=0.1\n":    "setting FamilyInfo.TallyEveryMs is -1",
		"FamilyInfo.TallyEveryMs=often\nFamilyInfo.TallySample=0.1\n": "setting FamilyInfo.TallyEveryMs is \"often\"",
		"FamilyInfo.TallyEveryMs=2000\nFamilyInfo.TallySample=1.5\n":  "setting FamilyInfo.TallySample is 1.5",
		"FamilyInfo.TallyEveryMs=2000\n":                              "setting FamilyInfo.TallySample is 0, but FamilyInfo.TallyEveryMs is 2000",
		"Feedback.How=on_probe\nLimits.Probes=false\n":                "setting Feedback.How is \"on_probe\", but Limits.Probes is false",
		"Feedback.How=inline\n":                                       "setting Feedback.Fields names no figure, but Feedback.How",
		"Limits.ParallelTries=true\nLimits.MaxAttempts=1\n":           "setting Limits.ParallelTries is true, but Limits.MaxAttempts is 1",
		"Grades.0.SloMs=0\n":                                          "setting Grades.0.SloMs is 0; no answer could be in time",
		"FamilyInfo.VoteMode=timer\n":                                 "setting FamilyInfo.VotesToGo is 1, but FamilyInfo.VoteMode is timer",
	} {
		_, err := ParsePairs(validSettings + lines).NewRouter(1)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %q", lines, err, want)
		}
	}
}

// One build reads both shapes, from the simulator's pairs and from a program's file, by either's names for the figures.
func TestLoadReportFormat(t *testing.T) {
	file, err := parseJSON("config.settings", []byte(`{"Feedback":{"How":"answers","Fields":["util","heat","qps"]},"Weights":"none"}`))
	if err != nil {
		t.Fatal(err)
	}
	if r := file.loadReportFormat(); r.Utilization != 1 || r.Rate != 3 || r.InFlight != 0 || file.hasWeights() || file.Err() != nil {
		t.Errorf("%+v, sized %v, %v", r, file.hasWeights(), file.Err())
	}
	simulated := ParsePairs("Feedback.How=inline\nFeedback.Fields=outstanding\nWeights=nominal\n")
	if r := simulated.loadReportFormat(); r.InFlight != 1 || r.Utilization != 0 || r.Rate != 0 || !simulated.hasWeights() || simulated.Err() != nil {
		t.Errorf("%+v, sized %v, %v", r, simulated.hasWeights(), simulated.Err())
	}
	unread := ParsePairs("Feedback.How=on_probe\nFeedback.Fields=backlog\n")
	if r := unread.loadReportFormat(); r.Utilization+r.Rate+r.InFlight != 0 || !unread.hasWeights() || unread.Err() != nil {
		t.Errorf("%+v, sized %v, %v", r, unread.hasWeights(), unread.Err())
	}
}
