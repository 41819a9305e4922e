package faulttest

import (
	"fmt"
	"strings"
	"testing"
)

// soakSeeds are the seeds of the drawn scenarios that CI runs.
var soakSeeds = []int64{1, 2, 3, 4, 5, 6, 7, 8}

// Drawn scenarios break no rule. To reproduce a failure, print the scenario with switchfork-lab soak --print SEED and run it with
// switchfork-lab faulttest.
func TestSoak(t *testing.T) {
	options := runOptions(t)
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			scenario, err := ParseScenario(fmt.Sprintf("soak-%d.txt", seed), DrawScenario(seed))
			if err != nil {
				t.Fatal(err)
			}
			if v := runLimited(t, scenario, options); !v.Passed {
				t.Errorf("%s\nlogs, timeline and records are in %s", strings.Join(v.Failures(), "\n"), v.Folder)
			}
		})
	}
}

// The same seed always gives the same scenario, every drawn scenario can be parsed, and each kind of step is drawn.
func TestDrawScenario(t *testing.T) {
	drawn := map[string]bool{}
	for seed := range int64(300) {
		text := DrawScenario(seed)
		if text != DrawScenario(seed) {
			t.Fatalf("seed %d draws two different scenarios", seed)
		}
		if _, err := ParseScenario("drawn", text); err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		for line := range strings.Lines(text) {
			if words := strings.Fields(line); len(words) > 1 {
				drawn[words[1]] = true
			}
		}
	}
	for _, step := range []string{"load", "crowd", "work", "fail", "slow", "reset", "drop", "heal", "drain", "gone", "add", "news", "stop", "go", "reload", "term", "start"} {
		if !drawn[step] {
			t.Errorf("the step %s is drawn from none of the seeds", step)
		}
	}
}
