package main

import (
	"errors"
	"strings"
	"testing"
	"time"

	"switchfork/internal/faulttest"
)

// Flags that can't be used are wrong use, and name what was expected.
func TestSoakFlags(t *testing.T) {
	valid := soakOptions{seeds: 1, from: 1, parallel: 1, print: -1}
	if err := valid.check(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*soakOptions){
		"--seeds":    func(o *soakOptions) { o.seeds = -1 },
		"--for":      func(o *soakOptions) { o.seeds = 0 },
		"--from":     func(o *soakOptions) { o.from = -1 },
		"--parallel": func(o *soakOptions) { o.parallel = 0 },
	} {
		options := valid
		change(&options)
		var wrongUse usageError
		if err := options.check(); !errors.As(err, &wrongUse) || !strings.Contains(err.Error(), name+" ") {
			t.Errorf("%s: got %v", name, err)
		}
	}
	timed := soakOptions{duration: time.Second, parallel: 1}
	if err := timed.check(); err != nil || timed.seeds != maxSoakSeeds {
		t.Errorf("with --for alone: %d seeds, %v", timed.seeds, err)
	}
}

// What is printed of a seed is the scenario that the soak plays.
func TestSoakPrint(t *testing.T) {
	command, out := newSoakCommand(), &strings.Builder{}
	command.SetOut(out)
	command.SetArgs([]string{"--print", "21"})
	if err := command.Execute(); err != nil || out.String() != faulttest.DrawScenario(21) {
		t.Errorf("printed %q, %v", out, err)
	}
}
