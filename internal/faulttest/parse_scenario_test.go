package faulttest

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// All errors in a scenario file are reported at once, each with the file, the line and what was expected.
func TestParseScenarioReportsAllErrors(t *testing.T) {
	for text, want := range map[string]string{
		"agents 0":                                       "from 1 to 64",
		"agents many":                                    "whole number",
		"colour red":                                     `unexpected "colour" at the start of the line`,
		"transport loudly":                               "expected datagrams, tcp or none",
		"0s dance":                                       `unknown step "dance"`,
		"0s load x":                                      "expected a number",
		"0s load 5 agent:7":                              "from 0 to 2",
		"0s load 5 keyed=0.8 non-idempotent=0.5":         "from 0 to 0.",
		"0s delay 1 agents -> discovery":                 "expected a time",
		"0s delay 10ms~20ms agents -> discovery":         "spread",
		"0s drop discovery -> rollout-controller":        "no link between these ends",
		"0s drop agents > discovery":                     "expected -> or <->",
		"0s duplicate 0.2 agents -> discovery":           "on datagrams between agents",
		"0s reorder 0.9 agents -> agents":                "from 0 to 0.5",
		"0s reset 5 agents -> agents datagrams":          "on streams",
		"0s drop agents -> rollout-controller datagrams": "agents at both ends",
		"0s pause agent:lead":                            "is not bound by an earlier line",
		"0s pause":                                       "unexpected end of line",
		"0s reload agents shoes":                         "expected operator, peer, discovery",
		"0s add 3":                                       "no build is given",
		"0s rollout 8 0 dreaming 0.2":                    "expected testing",
		"0s wait succeeded >= 1":                         "within and a time",
		"0s wait succeeded ~ 1 within 2s":                "is not a comparison operator",
		"0s resume agents please":                        `unexpected "please" at the end of the line`,
		"soon load 5":                                    `unexpected "soon" at the start of the line`,
		"0soon load 5":                                   "expected a time",
		"expect leaders = 1":                             "is reported by the agents themselves",
		"expect happiness >= 1":                          `unknown measure "happiness"`,
		"expect votes:maybe >= 1":                        `unknown recommendation "maybe"`,
		"expect succeeded >= 0.9 from later":             "is not a time",
		"expect succeeded >= 0.9 each 1ms":               "at least 100ms",
		"expect alive at=endpoint:1 = 3":                 "not counted by endpoint",
		"expect alive class=fee = 3":                     "not counted by class",
		"expect succeeded class=shoes >= 0.9":            "expected lookup, posting or fee",
		"expect never two hold":                          "what is held",
		"expect succeeded >= 0.9 of=agent:9":             "from 0 to 2",
		"leader-election lease=600ms":                    "the leader election needs a transport",
		"0s error-rate 0.5 endpoint:1..0":                "from 1 to",
		"0s members add agent:1 at agents":               "within and a time",
		"0s name x who within 1s":                        "expected leader",
		"0s start agent:0 program=other twice":           `unexpected "twice" at the end of the line`,
		"operator admin x\n0s rollout-controller shouts": "expected silent or answers",
		"0s bandwidth 0 agents -> endpoints":             "from 1",
		"0s start agent:0 program=../x":                  "without a path",
		"0s slowdown 2 machines":                         "does not name endpoints",
		"0s loss 2 agents <-> agents":                    "from 0 to 1",
		"0s mark a\nexpect succeeded >= 1 from a+soon":   "expected a time",
	} {
		_, err := ParseScenario("n.txt", "# a comment\n"+text+"\nexpect succeeded >= 0.9\n")
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "n.txt:") {
			t.Errorf("%q: got error %v, want one that starts with n.txt: and contains %q", text, err, want)
		}
	}
	var parseError *ParseError
	if _, err := ParseScenario("n.txt", "0s dance\nexpect succeeded >= 0.9\n"); !errors.As(err, &parseError) || parseError.File != "n.txt" || parseError.Line != 1 {
		t.Errorf("got error %v, want a ParseError for line 1 of n.txt", err)
	}
	_, err := ParseScenario("n.txt", "agents 0\ntransport loudly\n0s dance\nexpect leaders = 1\n")
	if err == nil || strings.Count(err.Error(), "\n") != 3 || !strings.Contains(err.Error(), "n.txt:4: ") {
		t.Errorf("got error %v, want four errors, with one in line 4 of n.txt", err)
	}
	if _, err = ParseScenario("n.txt", "0s load 5\n"); err == nil || !strings.Contains(err.Error(), "has no expectation") {
		t.Errorf("scenario without an expectation: got error %v, want one that says so", err)
	}
}

// A load's random seed depends on the number of loads before it, not on its line number. Otherwise a comment added to a scenario would change
// the arrivals.
func TestLoadSeedIgnoresComments(t *testing.T) {
	numbers := func(text string) (numbers []int) {
		scenario, err := ParseScenario("loads", text)
		if err != nil {
			t.Fatal(err)
		}
		for _, step := range scenario.Steps {
			if load, isLoad := step.Action.(openLoadStep); isLoad {
				numbers = append(numbers, load.number)
			}
		}
		return numbers
	}
	plain := numbers("0s load 5\n1s load 6 agent:1\nexpect offered >= 1\n")
	commented := numbers("# a comment\n\n0s load 5\n# another\n0s heal all\n1s load 6 agent:1\nexpect offered >= 1\n")
	if want := []int{0, 1}; !slices.Equal(plain, want) || !slices.Equal(commented, want) {
		t.Errorf("got load numbers %v without comments and %v with comments, want %v for both", plain, commented, want)
	}
}
