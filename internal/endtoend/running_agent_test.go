package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/proxy"
)

// runningAgent is a running process of the program, with the fake discovery service and rollout controller that it calls.
type runningAgent struct {
	command           *exec.Cmd
	url               string
	discovery         *fakes.StreamServer
	rolloutController *fakes.StreamServer
	configPath        string
	config            string // content of the file at configPath
	log               *fakes.Log
	client            *http.Client // used by request and tryRequest
	exited            chan error   // receives the result of the process when it exits
}

// startReadyAgent starts the program with hosts as its configured endpoint list, and waits until the agent is healthy.
func startReadyAgent(t *testing.T, hosts ...string) *runningAgent {
	t.Helper()
	a := startAgent(t, func(config string) string { return config }, hosts...)
	a.waitHealthy(t)
	return a
}

// startAgent writes a configuration with hosts as its endpoint list, edited by change, and starts the program.
func startAgent(t *testing.T, change func(config string) string, hosts ...string) *runningAgent {
	t.Helper()
	binary, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	return startProgram(t, binary, change, hosts...)
}

// startProgram is startAgent for another build of the program.
func startProgram(t *testing.T, binary string, change func(config string) string, hosts ...string) *runningAgent {
	t.Helper()
	a := &runningAgent{log: &fakes.Log{}, client: http.DefaultClient, exited: make(chan error, 1)}
	a.discovery = agenttest.NewStreamServer(t, "\n", 100*time.Millisecond, func(string) string { return "" })
	a.rolloutController = agenttest.NewStreamServer(t, ":\n", 100*time.Millisecond, func(target string) string {
		if strings.HasPrefix(target, "POST") {
			return "400|<Error><Code>Throttling</Code></Error>"
		}
		return ":\n"
	})
	address, err := fakes.FreeAddress(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	a.config = change(fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,
"sockets":1024},"platform":{"address":%q,"news":{"image":41,"ring":1,"progress":"live","ceiling":1,"lag_ms":9000}},
"known":%s,"settings":%s}`, address, a.discovery.Addr(), a.rolloutController.Addr(), fakes.ListDocument(1, true, hosts...), deploymentSettings))
	a.configPath = filepath.Join(t.TempDir(), "config.json")
	if err = os.WriteFile(a.configPath, []byte(a.config), 0o600); err != nil {
		t.Fatal(err)
	}
	a.url = "http://" + address
	a.command = exec.CommandContext(context.Background(), binary) // not t.Context, which ends before the cleanups; the cleanup below kills the process
	a.command.Env = append(os.Environ(), "GW_CONFIG="+a.configPath)
	a.command.Stderr = a.log
	if err = a.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { a.exited <- a.command.Wait() }()
	t.Cleanup(func() {
		_ = a.command.Process.Kill() // fails if the process has exited
		if strings.Contains(a.log.String(), proxy.NoReplyMessage) {
			t.Error("the event loop has left a request without a reply")
		}
		if t.Failed() {
			t.Log(a.log)
		}
	})
	return a
}

func (a *runningAgent) signal(t *testing.T, signal os.Signal) {
	t.Helper()
	if err := a.command.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// waitExit waits until the process has exited and returns its result. hasExited is false if it did not exit within agenttest.WaitTimeout.
func (a *runningAgent) waitExit() (hasExited bool, result error) {
	select {
	case result = <-a.exited:
		return true, result
	case <-time.After(agenttest.WaitTimeout):
		return false, nil
	}
}

// expectCleanExit fails the test unless the process exits with status 0 within agenttest.WaitTimeout.
func (a *runningAgent) expectCleanExit(t *testing.T) {
	t.Helper()
	switch hasExited, result := a.waitExit(); {
	case !hasExited:
		t.Error("the program did not exit in time")
	case result != nil:
		t.Errorf("the program exited with %v, want status 0", result)
	}
}

// waitHealthy waits until a request for /_health gets status 200.
func (a *runningAgent) waitHealthy(t *testing.T) {
	t.Helper()
	agenttest.Eventually(t, "health", func() bool {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, a.url+"/_health", nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}
