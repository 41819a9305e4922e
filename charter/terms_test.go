package charter

import (
	"strings"
	"testing"
	"time"
)

const sound = `Me=1
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
func TestFleetTerms(t *testing.T) {
	if _, err := Pairs(sound).Open(1); err != nil {
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
		text := strings.Replace(sound, from, to, 1)
		if _, err := Pairs(text).Open(1); err == nil || !strings.Contains(err.Error(), key+" ") {
			t.Errorf("%q for %q: %v", to, from, err)
		}
	}
	for _, price := range []string{"CrossZone", "Waste", "Probe", "Peer"} {
		if _, err := Pairs(sound + "Charges." + price + "=-0.1\n").Open(1); err == nil || !strings.Contains(err.Error(), "Charges."+price) {
			t.Errorf("a negative price: %v", err)
		}
		if _, err := Pairs(sound + "Charges." + price + "=0.1\n").Open(1); err != nil {
			t.Error(err)
		}
	}
}

// The time in which to ask for the list counts only where it must be asked.
func TestAskWithin(t *testing.T) {
	lines := "Limits.DialTimeoutMs=250\nLimits.ConnIdleMs=30000\nSafety.AskWithinMs=10000\n"
	for how, want := range map[string]time.Duration{"subscribe": 10 * time.Second, "automatic": 0} {
		terms := Pairs(strings.Replace(sound, "subscribe", how, 1) + lines)
		if l := terms.Lines(); l.AskWithin != want || terms.Err() != nil {
			t.Errorf("%s: %v, %v", how, l.AskWithin, terms.Err())
		}
	}
}
