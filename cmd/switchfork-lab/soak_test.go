package main

import (
	"errors"
	"strings"
	"testing"
	"time"

	"switchfork/internal/faulttest"
)

// An invalid flag is reported as a usage error that names the flag.
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
			t.Errorf("%s: got error %v, want a usage error that names the flag", name, err)
		}
	}
	timed := soakOptions{duration: time.Second, parallel: 1}
	if err := timed.check(); err != nil || timed.seeds != maxSoakSeeds {
		t.Errorf("with --for alone: got %d seeds, error %v, want the maximum number of seeds", timed.seeds, err)
	}
}

// With --print, soak prints the scenario that it would run for that seed.
func TestSoakPrint(t *testing.T) {
	command, out := newSoakCommand(), &strings.Builder{}
	command.SetOut(out)
	command.SetArgs([]string{"--print", "21"})
	if err := command.Execute(); err != nil || out.String() != faulttest.DrawScenario(21) {
		t.Errorf("got output %q, error %v, want the scenario of seed 21", out, err)
	}
}
