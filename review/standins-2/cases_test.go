package main

import (
	"os/exec"
	"testing"
)

// The tests play the cases of the folders beside this module. They need the program, built by the build line of the deploy file, and the
// stand-ins, built by build-2.sh. They are no part of the project's test run, as this is a module of its own.

// An answer that is cut by its Content-Length is not served as whole.
func TestReviewCutAnswerIsNotServed(t *testing.T) { playCase(t, "6") }

// A posting that is cut by its Content-Length is answered with an error.
func TestReviewCutRequestIsNotServed(t *testing.T) { playCase(t, "7") }

// Nothing is sent for a client that has left while its connection waited to be accepted.
func TestReviewNothingIsSentForAClientThatHasLeft(t *testing.T) { playCase(t, "8") }

// A drain takes effect in time though list calls were turned away.
func TestReviewDrainIsKeptAfterRefusedCalls(t *testing.T) { playCase(t, "9") }

// Admission control keeps the exposure cap.
func TestReviewAdmissionControlKeepsTheCap(t *testing.T) { playCase(t, "10") }

func playCase(t *testing.T, number string) {
	t.Helper()
	command := exec.Command("sh", "../"+number+"/run.sh")
	output, err := command.CombinedOutput()
	switch command.ProcessState.ExitCode() {
	case 0:
	case 1:
		t.Errorf("the rule was broken:\n%s", output)
	default:
		t.Skipf("the case could not run: %v\n%s", err, output)
	}
}
