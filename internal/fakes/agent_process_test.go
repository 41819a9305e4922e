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

// testAgentOptions are options of a program that is no agent.
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

// Callers can tell apart why an agent did not become healthy.
func TestAgentStartErrors(t *testing.T) {
	options := testAgentOptions(t, "exit 3")
	if _, err := StartReadyAgent(t.Context(), options); !errors.Is(err, ErrExitedAtStart) {
		t.Errorf("a program that ends at once: %v", err)
	}
	options.Program += "-that-is-missing"
	if _, err := StartAgent(t.Context(), options); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a program that is missing: %v", err)
	}
	options.Dir = filepath.Join(options.Dir, "missing")
	if _, err := StartAgent(t.Context(), options); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a folder that is missing: %v", err)
	}

	agent, err := StartAgent(t.Context(), testAgentOptions(t, "exec sleep 600"))
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Kill()
	if err := agent.WaitHealthy(t.Context(), 20*time.Millisecond, time.Millisecond); !errors.Is(err, ErrNotHealthy) {
		t.Errorf("a program that doesn't serve: %v", err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if err := agent.WaitHealthy(cancelled, time.Hour, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("a wait that is cancelled: %v", err)
	}
	if agent.HasExited() {
		t.Error("the process has ended with a wait for it")
	}
}

// A process outlives the context that it was started with, and gets the operator file only where there is one.
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
		t.Errorf("the process has ended: %v", agent.ExitError())
	case <-time.After(300 * time.Millisecond): // time in which it would be killed
	}
	if err := agent.Stop(); err == nil {
		t.Error("a process that SIGTERM has killed ended with status 0")
	}
	if !agent.HasExited() {
		t.Error("the process runs on after Stop")
	}
}
