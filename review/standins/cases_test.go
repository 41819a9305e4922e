package main

import (
	"os/exec"
	"testing"
)

// The tests play the cases of the folders beside this module. They need the program, built by the build line of the deploy file, and are no
// part of the project's test run, as this is a module of its own.

// No host runs a request that stands hidden in the body of another.
func TestReviewHiddenRequestIsNotRun(t *testing.T) { playCase(t, "1") }

// A repeat is never served the answer to a request for something else.
func TestReviewRepeatGetsItsOwnAnswer(t *testing.T) { playCase(t, "2") }

// A repeat that has joined its first try gets an answer though the client of the first try has left.
func TestReviewJoinedRepeatIsAnswered(t *testing.T) { playCase(t, "3") }

// The votes of a leader that has left and of its successor never stand against each other.
func TestReviewVotesNeverConflict(t *testing.T) {
	report(t, exec.Command("bash", "../play.sh", "handover", t.TempDir()))
}

func playCase(t *testing.T, number string) {
	t.Helper()
	report(t, exec.Command("bash", "../"+number+"/run.sh"))
}

func report(t *testing.T, command *exec.Cmd) {
	t.Helper()
	output, err := command.CombinedOutput()
	switch command.ProcessState.ExitCode() {
	case exitHeld:
	case exitBroken:
		t.Errorf("the rule was broken:\n%s", output)
	default:
		t.Skipf("the case could not run: %v\n%s", err, output)
	}
}
