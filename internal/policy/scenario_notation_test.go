package policy

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// wordTable gives the present word for each word of the older notation.
type wordTable map[string]string

// notation is the words that have been renamed, by where they stand.
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

// present is the present form of a word; an option's value stays.
func (t wordTable) present(word string) string {
	key, value, hasValue := strings.Cut(word, "=")
	if renamed, isOld := t[key]; isOld {
		key = renamed
	}
	if hasValue {
		return key + "=" + value
	}
	return key
}

func (t wordTable) allPresent(words []string) []string {
	var present []string
	for _, word := range words {
		present = append(present, t.present(word))
	}
	return present
}

// presentLine is the present form of a line's words.
func (n notation) presentLine(words []string) []string {
	line := append([]string{n.lines.present(words[0])}, words[1:]...)
	switch line[0] {
	case "agent":
		for i, word := range n.agentOptions.allPresent(line[1:]) {
			line[1+i] = strings.Replace(word, "index=BENCH", "index=EVALUATOR", 1)
		}
		return line
	case "class":
		line[1] = n.classKinds.present(line[1])
		return append(line[:2], n.classOptions.allPresent(line[2:])...)
	case ">":
		command := 1
		if line[1] == "no" {
			command = 2
		}
		line[command] = n.commands.present(line[command])
		return append(line[:command+1], n.commandOptions.allPresent(line[command+1:])...)
	}
	line[1] = n.events.present(line[1])
	n.presentEvent(line[1], line[2:])
	return line
}

// presentEvent puts the words of an event into their present form.
func (n notation) presentEvent(kind string, words []string) {
	switch kind {
	case "rollout": // BUILD STAGE PHASE CAP [OUTCOME]
		words[2] = n.phases.present(words[2])
		if len(words) > 4 {
			words[4] = n.outcomes.present(words[4])
		}
	case "result", "health-check", "gossip-outcome": // ID OUTCOME OPTIONS
		words[1] = n.outcomes.present(words[1])
		copy(words[2:], n.eventOptions.allPresent(words[2:]))
	case "gossip-verdict": // EVALUATOR BUILD STAGE VERDICT
		words[3] = n.verdicts.present(words[3])
	case "request", "requests", "metrics-report", "traffic":
		copy(words, n.eventOptions.allPresent(words))
	}
}

// Scenarios in the older notation play as those of the same name in the present one.
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
			old, present := playScenario(t, file), playScenario(t, filepath.Join("testdata", name))
			if !reflect.DeepEqual(old.commands, present.commands) {
				t.Error("the older notation gives other commands")
			}
			if old.checks == 0 || old.checks != present.checks {
				t.Errorf("the older notation has %d checks, the present one %d", old.checks, present.checks)
			}
		})
	}
}
