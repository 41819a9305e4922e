package faulttest

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// Scenarios without communication between agents. They are separate from the files, since a file has one transport only.
const (
	formerWithoutTransport  = "talk no\n0s load 5\nexpect offered >= 1\n"
	currentWithoutTransport = "transport none\n0s load 5\nexpect offered >= 1\n"
)

func readTestFile(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// describeText describes the scenario of a text. The file name is the same for all texts.
func describeText(t *testing.T, text string) string {
	t.Helper()
	scenario, err := ParseScenario("scenario.txt", text)
	if err != nil {
		t.Fatal(err)
	}
	return describeScenario(scenario)
}

// A scenario in the former notation and its translation to the current one have the same meaning. Together the texts use every word that has
// changed.
func TestFormerNotationIsRead(t *testing.T) {
	formerTexts := []string{readTestFile(t, "former_notation.txt"), formerWithoutTransport}
	currentTexts := []string{readTestFile(t, "current_notation.txt"), currentWithoutTransport}
	for i := range formerTexts {
		if got, want := describeText(t, currentTexts[i]), describeText(t, formerTexts[i]); got != want {
			t.Errorf("got from the current notation\n%s\nwant as from the former notation\n%s", got, want)
		}
	}
	formerText, currentText := strings.Join(formerTexts, "\n"), strings.Join(currentTexts, "\n")
	for context, words := range formerWords {
		for formerWord, currentWord := range words {
			if !containsWord(formerText, formerWord) || !containsWord(currentText, currentWord) {
				t.Errorf("context %d: the former texts lack %s or the current texts lack %s, want both used", context, formerWord, currentWord)
			}
		}
	}
}

func containsWord(text, word string) bool {
	return regexp.MustCompile(`(?m)(^|[\s:=])` + regexp.QuoteMeta(word) + `($|[\s:=])`).MatchString(text)
}

// In each position of the notation, no former word is also a current word, and no two former words have the same meaning.
func TestFormerWordsAreUnambiguous(t *testing.T) {
	for context, words := range formerWords {
		meanings := map[string]string{}
		for formerWord, current := range words {
			if _, isFormer := words[current]; isFormer {
				t.Errorf("context %d: %s is both a current and a former word", context, current)
			}
			if other, isTaken := meanings[current]; isTaken {
				t.Errorf("context %d: %s replaces both %s and %s, want one former word", context, current, other, formerWord)
			}
			meanings[current] = formerWord
		}
	}
	for keyword := range actionParsers {
		if _, isFormer := formerWords[stepWord][keyword]; isFormer {
			t.Errorf("the step %s is also a former word", keyword)
		}
	}
	for keyword := range faultParsers {
		if _, isFormer := formerWords[stepWord][keyword]; isFormer {
			t.Errorf("the fault %s is also a former word", keyword)
		}
	}
	for name := range measureSpecs {
		if _, isFormer := formerWords[measureWord][name]; isFormer {
			t.Errorf("the measure %s is also a former word", name)
		}
	}
}

// An error in a line of the former notation names the file, the line and the word as it was written, and says what is expected in the
// current notation.
func TestFormerNotationErrors(t *testing.T) {
	for text, want := range map[string]string{
		"talk loudly":                           `the transport is "loudly", expected datagrams, tcp or none`,
		"decider lease=600ms":                   "the leader election needs a transport",
		"decider lease=soon":                    `the lease is "soon", expected a time`,
		"appliances many":                       `the number of endpoints is "many", expected a whole number`,
		"appliances 3 work=soon":                `the service time is "soon", expected a time`,
		"late 9":                                `the agent is "9", expected a whole number`,
		"bound soon":                            `the timeout is "soon", expected a time`,
		"0s load 5 posting=0.8 once=0.5":        `non-idempotent is "0.5", expected a number from 0 to 0.`,
		"0s load 5 pieces=2":                    `split is "2", expected a number from 0 to 1`,
		"0s crowd many":                         `the number of clients is "many", expected a whole number`,
		"0s crowd 5 pause=soon":                 `the think time is "soon", expected a time`,
		"0s slow 10ms~20ms agents -> discovery": "the spread is larger than the delay",
		"0s swap 0.9 agents -> agents":          "from 0 to 0.5",
		"0s double 0.2 agents -> launcher":      "on datagrams between agents",
		"0s trickle 0 agents -> appliances":     `the rate is "0", expected a whole number from 1`,
		"0s drop discovery -> launcher":         "no link between these ends",
		"0s stop agent:lead":                    `"lead" is not bound by an earlier line`,
		"0s go agents please":                   `unexpected "please" at the end of the line`,
		"0s fail 0.5 appliance:x":               `the endpoint is "x", expected a whole number`,
		"0s work 2 machines":                    `"machines" does not name endpoints`,
		"0s news 8 0 dreaming 0.2":              "expected testing",
		"0s launcher shouts":                    `the rollout controller is "shouts", expected silent or answers`,
		"expect settled product=shoes >= 0.9":   "expected lookup, posting or fee",
		"expect votes:maybe >= 1":               `unknown recommendation "maybe", expected advance`,
		"expect calls:launch >= 1":              `unknown server "launch", expected discovery or rollout-controller`,
		"expect leads = 1":                      `"leads" is reported by the agents themselves`,
	} {
		_, err := ParseScenario("n.txt", "# a comment\n"+text+"\nexpect settled >= 0.9\n")
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "n.txt:") {
			t.Errorf("%q: got error %v, want one that starts with n.txt: and contains %q", text, err, want)
		}
	}
}
