package fakes

import (
	"context"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// testAgentOptions returns options that start a shell script in place of the agent's program.
func testAgentOptions(t *testing.T, script string) AgentOptions {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\n"+script+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	address, err := FreeAddress(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return AgentOptions{Program: program, Dir: dir, Config: "{}", ListenAddress: address, Log: io.Discard}
}

// Callers can distinguish why an agent did not become healthy.
func TestAgentStartErrors(t *testing.T) {
	options := testAgentOptions(t, "exit 3")
	if _, err := StartReadyAgent(t.Context(), options); !errors.Is(err, ErrExitedAtStart) {
		t.Errorf("a program that ends at once: got %v, want ErrExitedAtStart", err)
	}
	options.Program += "-that-is-missing"
	if _, err := StartAgent(t.Context(), options); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a program that is missing: got %v, want ErrNotExist", err)
	}
	options.Dir = filepath.Join(options.Dir, "missing")
	if _, err := StartAgent(t.Context(), options); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a folder that is missing: got %v, want ErrNotExist", err)
	}

	agent, err := StartAgent(t.Context(), testAgentOptions(t, "exec sleep 600"))
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Kill()
	if err := agent.WaitHealthy(t.Context(), 20*time.Millisecond, time.Millisecond); !errors.Is(err, ErrNotHealthy) {
		t.Errorf("a program that does not serve: got %v, want ErrNotHealthy", err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if err := agent.WaitHealthy(cancelled, time.Hour, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("a wait that is cancelled: got %v, want Canceled", err)
	}
	if agent.HasExited() {
		t.Error("the process ended when a wait for it was cancelled or timed out")
	}
}

// A process outlives the context with which it was started, and gets the paths of its configuration and its operator file.
func TestAgentOutlivesItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	options := testAgentOptions(t, `test "$1" = --operator && test -s "$2" && test -s "$GW_CONFIG" && exec sleep 600`)
	options.OperatorFile = "log-level info\n"
	agent, err := StartAgent(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	select {
	case <-agent.Done():
		t.Errorf("the process ended: %v", agent.ExitError())
	case <-time.After(300 * time.Millisecond): // long enough for a process that ends with its context to be killed
	}
	if err := agent.Stop(); err == nil {
		t.Error("Stop returned no error for a process that SIGTERM killed")
	}
	if !agent.HasExited() {
		t.Error("the process still runs after Stop")
	}
}
