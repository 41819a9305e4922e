package policy

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// wordTable maps words of the older notation to words of the current one.
type wordTable map[string]string

// notation holds the renamed words, by their place in a line.
type notation struct {
	lines          wordTable
	events         wordTable
	commands       wordTable
	agentOptions   wordTable
	classKinds     wordTable
	classOptions   wordTable
	eventOptions   wordTable
	commandOptions wordTable
	outcomes       wordTable
	phases         wordTable
	verdicts       wordTable
}

func oldNotation() notation {
	return notation{
		lines: wordTable{"product": "class"},
		events: wordTable{
			"list": "endpoints", "stage": "rollout", "txn": "request", "txns": "requests", "end": "result",
			"probed": "health-check", "flag": "error-report", "abandon": "cancel", "heard": "gossip-outcome",
			"went": "gossip-attempt", "digest": "gossip-digest", "word": "gossip-verdict", "tally": "metrics-report",
			"run": "traffic",
		},
		commands: wordTable{
			"submit": "attempt", "calloff": "cancel", "decline": "reject", "void": "fail", "probe": "check-health",
			"tell": "gossip", "vote-on": "vote-advance", "vote-back": "vote-rollback", "say": "log",
		},
		agentOptions: wordTable{
			"free": "allowance", "byproduct": "per-class", "guarded": "guarded-stages", "oneway": "keys-never-go-back",
			"inplace": "replaces-in-place", "me": "index", "warmkeys": "key-affinity", "unsized": "no-weights",
			"reports": "load-reports", "holds": "in-flight-field", "from": "initial-capacity", "warm": "warm-up",
			"multiple": "overload-multiple", "after": "overload-after", "max": "max-attempts", "ballot": "voting-rule",
			"togo": "votes-to-advance", "togoback": "votes-to-rollback", "calls": "calls-per-second",
			"stands": "vote-lifetime", "tally": "metrics-interval", "ask": "polls", "probe": "health-checks", "tell": "gossip",
		},
		classKinds: wordTable{"inquiry": "idempotent", "referenced": "keyed", "once": "non-idempotent"},
		classOptions: wordTable{
			"sla": "objective", "expiry": "timeout", "memory": "dedup-window", "group": "dedup-scope", "revenue": "priority",
		},
		eventOptions: wordTable{
			"product": "class", "customer": "tenant", "customers": "tenants", "failfor": "failing-tenant", "work": "cost",
			"for": "deadline", "took": "elapsed", "fail": "failing-build", "failat": "failing-endpoint", "slow": "slow-build",
			"slowat": "slow-endpoints", "errs": "error-every", "busy": "utilization",
		},
		commandOptions: wordTable{"before": "write-before"},
		outcomes: wordTable{
			"full": "rejected", "noconnect": "connect-failed", "broken": "connection-lost", "moot": "not-attempted",
			"spoilt": "malformed",
		},
		phases:   wordTable{"trial": "evaluating", "back": "rolling-back", "withdrawn": "rolled-back"},
		verdicts: wordTable{"on": "advance", "back": "rollback"},
	}
}

// current returns the current form of a word. The value of an option stays as it is.
func (t wordTable) current(word string) string {
	key, value, hasValue := strings.Cut(word, "=")
	if renamed, isOld := t[key]; isOld {
		key = renamed
	}
	if hasValue {
		return key + "=" + value
	}
	return key
}

func (t wordTable) translateAll(words []string) []string {
	var current []string
	for _, word := range words {
		current = append(current, t.current(word))
	}
	return current
}

// translateLine returns the words of a line in their current form.
func (n notation) translateLine(words []string) []string {
	line := append([]string{n.lines.current(words[0])}, words[1:]...)
	switch line[0] {
	case "agent":
		for i, word := range n.agentOptions.translateAll(line[1:]) {
			line[1+i] = strings.Replace(word, "index=BENCH", "index=EVALUATOR", 1)
		}
		return line
	case "class":
		line[1] = n.classKinds.current(line[1])
		return append(line[:2], n.classOptions.translateAll(line[2:])...)
	case ">":
		command := 1
		if line[1] == "no" {
			command = 2
		}
		line[command] = n.commands.current(line[command])
		return append(line[:command+1], n.commandOptions.translateAll(line[command+1:])...)
	}
	line[1] = n.events.current(line[1])
	n.translateEvent(line[1], line[2:])
	return line
}

// translateEvent replaces the words of an event by their current form.
func (n notation) translateEvent(kind string, words []string) {
	switch kind {
	case "rollout": // BUILD STAGE PHASE CAP [OUTCOME]
		words[2] = n.phases.current(words[2])
		if len(words) > 4 {
			words[4] = n.outcomes.current(words[4])
		}
	case "result", "health-check", "gossip-outcome": // ID OUTCOME OPTIONS
		words[1] = n.outcomes.current(words[1])
		copy(words[2:], n.eventOptions.translateAll(words[2:]))
	case "gossip-verdict": // EVALUATOR BUILD STAGE VERDICT
		words[3] = n.verdicts.current(words[3])
	case "request", "requests", "metrics-report", "traffic":
		copy(words, n.eventOptions.translateAll(words))
	}
}

// TestOldNotationIsRead checks that scenarios in the older notation give the same commands as the scenarios of the same name in
// the current notation.
func TestOldNotationIsRead(t *testing.T) {
	files, err := filepath.Glob("testdata/old-notation/*.txt")
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Fatal("no scenarios in testdata/old-notation")
	}
	for _, file := range files {
		name := filepath.Base(file)
		t.Run(name, func(t *testing.T) {
			old, current := runScenario(t, file), runScenario(t, filepath.Join("testdata", name))
			if !reflect.DeepEqual(old.commands, current.commands) {
				t.Error("the older and the current notation give different commands")
			}
			if old.checks == 0 || old.checks != current.checks {
				t.Errorf("the older notation has %d checks, want as many as the current one (%d) and more than 0",
					old.checks, current.checks)
			}
		})
	}
}
