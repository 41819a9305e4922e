package faulttest

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// Scenarios without communication between agents, which no other scenario can have.
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

// describeText describes the scenario of a text, without the name of its file.
func describeText(t *testing.T, text string) string {
	t.Helper()
	scenario, err := ParseScenario("scenario.txt", text)
	if err != nil {
		t.Fatal(err)
	}
	return describeScenario(scenario)
}

// A file in the former notation and its form in the current one are the same scenario. They use every word that has changed.
func TestFormerNotationIsRead(t *testing.T) {
	formerTexts := []string{readTestFile(t, "former_notation.txt"), formerWithoutTransport}
	currentTexts := []string{readTestFile(t, "current_notation.txt"), currentWithoutTransport}
	for i := range formerTexts {
		if got, want := describeText(t, currentTexts[i]), describeText(t, formerTexts[i]); got != want {
			t.Errorf("the current notation means\n%s\nthe former\n%s", got, want)
		}
	}
	formerText, currentText := strings.Join(formerTexts, "\n"), strings.Join(currentTexts, "\n")
	for context, words := range formerWords {
		for formerWord, currentWord := range words {
			if !containsWord(formerText, formerWord) || !containsWord(currentText, currentWord) {
				t.Errorf("context %d: %s or %s is in neither file", context, formerWord, currentWord)
			}
		}
	}
}

func containsWord(text, word string) bool {
	return regexp.MustCompile(`(?m)(^|[\s:=])` + regexp.QuoteMeta(word) + `($|[\s:=])`).MatchString(text)
}

// In no place of the notation a former word is the current word for something else.
func TestFormerWordsAreUnambiguous(t *testing.T) {
	for context, words := range formerWords {
		meanings := map[string]string{}
		for formerWord, current := range words {
			if _, isFormer := words[current]; isFormer {
				t.Errorf("context %d: %s is a current and a former word", context, current)
			}
			if other, isTaken := meanings[current]; isTaken {
				t.Errorf("context %d: %s stands for %s and %s", context, current, other, formerWord)
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

// An error in a line of the former notation names file, line, the word as it was written, and what is expected now.
func TestFormerNotationErrors(t *testing.T) {
	for text, want := range map[string]string{
		"talk loudly":                           `agents talk by "loudly", expected datagrams, tcp or none`,
		"decider lease=600ms":                   "have no leader election",
		"decider lease=soon":                    `the lease is "soon", expected a time`,
		"appliances many":                       `the number of endpoints is "many", expected a whole number`,
		"appliances 3 work=soon":                `the service time is "soon", expected a time`,
		"late 9":                                `the agent is "9", expected a whole number`,
		"bound soon":                            `the timeout is "soon", expected a time`,
		"0s load 5 posting=0.8 once=0.5":        `non-idempotent is "0.5", expected a number from 0 to 0.`,
		"0s load 5 pieces=2":                    `split is "2", expected a number from 0 to 1`,
		"0s crowd many":                         `the number of clients is "many", expected a whole number`,
		"0s crowd 5 pause=soon":                 `the think time is "soon", expected a time`,
		"0s slow 10ms~20ms agents -> discovery": "the spread is over the delay",
		"0s swap 0.9 agents -> agents":          "from 0 to 0.5",
		"0s double 0.2 agents -> launcher":      "on datagrams between agents",
		"0s trickle 0 agents -> appliances":     `the rate is "0", expected a whole number from 1`,
		"0s drop discovery -> launcher":         "no link joins",
		"0s stop agent:lead":                    `"lead" is bound by no line`,
		"0s go agents please":                   `"please" is left over`,
		"0s fail 0.5 appliance:x":               `the endpoint is "x", expected a whole number`,
		"0s work 2 machines":                    `"machines" names no endpoints`,
		"0s news 8 0 dreaming 0.2":              "expected testing",
		"0s launcher shouts":                    `the rollout controller is "shouts", expected silent or answers`,
		"expect settled product=shoes >= 0.9":   "expected lookup, posting or fee",
		"expect votes:maybe >= 1":               `"maybe" is no verdict, expected advance`,
		"expect calls:launch >= 1":              `"launch" takes no calls, expected discovery or rollout-controller`,
		"expect leads = 1":                      `"leads" is what agents say of themselves`,
	} {
		_, err := ParseScenario("n.txt", "# a comment\n"+text+"\nexpect settled >= 0.9\n")
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "n.txt:") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
