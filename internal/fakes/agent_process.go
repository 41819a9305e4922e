package fakes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

const (
	// ConfigName is the name of an agent's configuration in its folder.
	ConfigName = "config.json"
	// OperatorFileName is the name of an agent's operator file in its folder.
	OperatorFileName = "operator.conf"
)

const (
	startTimeout       = 10 * time.Second
	stopTimeout        = 10 * time.Second
	healthCheckTimeout = time.Second
	healthPollInterval = 10 * time.Millisecond
)

// Errors of an agent's process that callers may distinguish.
var (
	// ErrExitedAtStart means that the process ended before it became healthy.
	ErrExitedAtStart = errors.New("the agent has ended at its start")
	// ErrNotHealthy means that the process runs but did not become healthy in time.
	ErrNotHealthy = errors.New("the agent is not healthy")
	// ErrStillRunning means that the process did not end in time after SIGTERM.
	ErrStillRunning = errors.New("the agent still runs after SIGTERM")
)

// AgentOptions describes how an agent's program is started.
type AgentOptions struct {
	Program       string // path of the executable
	Dir           string // folder for the agent's files
	Config        string // text of the agent's configuration
	OperatorFile  string // text of the agent's operator file; empty: no file
	ListenAddress string // address on which the agent listens for clients, as given in Config
	Log           io.Writer
}

// Agent is a process that runs the agent's program.
type Agent struct {
	URL     string
	command *exec.Cmd
	done    chan struct{} // closed when the process has ended
	exitErr error         // how the process ended; set before done is closed
}

// StartReadyAgent starts the program and waits until the agent is healthy.
func StartReadyAgent(ctx context.Context, options AgentOptions) (*Agent, error) {
	agent, err := StartAgent(ctx, options)
	if err != nil {
		return nil, err
	}
	if err := agent.WaitHealthy(ctx, startTimeout, healthPollInterval); err != nil {
		agent.Kill()
		return nil, err
	}
	return agent, nil
}

// StartAgent writes the agent's files and starts the program, without waiting until the agent is healthy. The process runs until it is
// stopped or killed, even if the context is cancelled. On Linux it does not outlive the process that started it.
func StartAgent(ctx context.Context, options AgentOptions) (*Agent, error) {
	configPath, operatorPath, err := options.writeFiles()
	if err != nil {
		return nil, fmt.Errorf("writing the files of the agent at %s: %w", options.ListenAddress, err)
	}
	agent := &Agent{URL: "http://" + options.ListenAddress, done: make(chan struct{})}
	agent.command = exec.CommandContext(context.WithoutCancel(ctx), options.Program)
	agent.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	agent.command.Env = append(os.Environ(), "GW_CONFIG="+configPath, "SWITCHFORK_OPERATOR=")
	agent.command.Stderr = options.Log
	if operatorPath != "" {
		agent.command.Args = append(agent.command.Args, "--operator", operatorPath)
	}
	started := make(chan error, 1)
	go agent.run(started)
	if err := <-started; err != nil {
		return nil, fmt.Errorf("starting %s: %w", options.Program, err)
	}
	return agent, nil
}

// writeFiles writes the configuration, and the operator file if there is one.
func (o *AgentOptions) writeFiles() (configPath, operatorPath string, err error) {
	configPath = filepath.Join(o.Dir, ConfigName)
	if err := os.WriteFile(configPath, []byte(o.Config), 0o600); err != nil {
		return "", "", err
	}
	if o.OperatorFile == "" {
		return configPath, "", nil
	}
	operatorPath = filepath.Join(o.Dir, OperatorFileName)
	return configPath, operatorPath, os.WriteFile(operatorPath, []byte(o.OperatorFile), 0o600)
}

// run starts the process, sends the result of the start, and waits until the process has ended. It stays on its OS thread in the
// meantime: with Pdeathsig the system kills the process when the thread that started it ends.
func (a *Agent) run(started chan<- error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	err := a.command.Start()
	started <- err
	if err != nil {
		return
	}
	a.exitErr = a.command.Wait()
	close(a.done)
}

// WaitHealthy waits until the agent answers health checks, checking at an interval. It fails with ErrExitedAtStart, with ErrNotHealthy
// after a timeout, or with the context's error.
func (a *Agent) WaitHealthy(ctx context.Context, timeout, interval time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		switch {
		case a.IsHealthy(ctx):
			return nil
		case a.HasExited():
			return fmt.Errorf("%w: %w", ErrExitedAtStart, a.exitStatus())
		case time.Now().After(deadline):
			return fmt.Errorf("%w %v after its start", ErrNotHealthy, timeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
}

// errExitedCleanly means that a process which should keep running ended with exit status 0.
var errExitedCleanly = errors.New("exit status 0")

// exitStatus returns how the process ended, as an error even for exit status 0. It may be called once Done is closed.
func (a *Agent) exitStatus() error {
	if a.exitErr == nil {
		return errExitedCleanly
	}
	return a.exitErr
}

// IsHealthy reports whether the agent answers a health check with 200.
func (a *Agent) IsHealthy(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, a.URL+"/_health", nil)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // the status has arrived
	return response.StatusCode == http.StatusOK
}

// HasExited reports whether the process has ended.
func (a *Agent) HasExited() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// Done is closed when the process has ended.
func (a *Agent) Done() <-chan struct{} { return a.done }

// ExitError returns how the process ended, nil for the exit status 0. It may be called once Done is closed.
func (a *Agent) ExitError() error { return a.exitErr }

// Terminate asks the agent to drain and end.
func (a *Agent) Terminate() error { return a.command.Process.Signal(syscall.SIGTERM) }

// Stop drains the agent, waits for its end and returns how it ended. It fails with ErrStillRunning if it had to kill the process.
func (a *Agent) Stop() error {
	_ = a.Terminate() // fails if the process has already ended
	select {
	case <-a.done:
		return a.exitErr
	case <-time.After(stopTimeout):
		err := fmt.Errorf("%w: it did not end within %v", ErrStillRunning, stopTimeout)
		return errors.Join(err, a.command.Process.Kill())
	}
}

// Pause suspends the process until Resume.
func (a *Agent) Pause() error { return a.command.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (a *Agent) Resume() error { return a.command.Process.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for its end.
func (a *Agent) Kill() {
	_ = a.command.Process.Kill() // fails if the process has already ended
	<-a.done
}

// Reload makes the agent read its files again.
func (a *Agent) Reload() error { return a.command.Process.Signal(syscall.SIGHUP) }

// BuildAgent builds the agent's program into a folder, with flags for the compiler, and returns its path.
func BuildAgent(dir, name string, flags ...string) (string, error) {
	path := filepath.Join(dir, name)
	arguments := append([]string{"build"}, flags...)
	arguments = append(arguments, "-o", path, "switchfork/cmd/switchfork")
	output, err := exec.CommandContext(context.Background(), "go", arguments...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the agent's program as %s: %w: %s", path, err, output)
	}
	return path, nil
}
