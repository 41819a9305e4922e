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
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// ConfigName is the name of an agent's configuration in its folder.
	ConfigName = "config.json"
	// OptionsName is the name of an agent's operator file in its folder.
	OptionsName = "operator.conf"
)

const (
	startTimeout       = 10 * time.Second
	stopTimeout        = 10 * time.Second
	healthCheckTimeout = time.Second
	healthPollInterval = 10 * time.Millisecond
	kilobytesPerMB     = 1024
)

// Agent is a process of the agent's program.
type Agent struct {
	URL     string
	command *exec.Cmd
	exit    chan error // how the process ended; closed after that
	done    chan struct{}
	exitErr error // set before done is closed
}

// Start writes the agent's files into a folder, starts the program and waits until it serves.
func (d *Deployment) Start(program, dir, operator string, build, memoryMB int, log io.Writer) (*Agent, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	return StartReadyAgent(program, dir, d.config(listen, build, memoryMB), operator, listen, log)
}

// StartReadyAgent starts the program with these files in a folder, and waits until it serves.
func StartReadyAgent(program, dir, config, operator, listen string, log io.Writer) (*Agent, error) {
	a, err := StartAgent(program, dir, config, operator, listen, log)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(healthPollInterval) {
		if a.HasExited() {
			return nil, fmt.Errorf("the agent has ended: %w", <-a.exit)
		}
		if a.IsHealthy() {
			return a, nil
		}
	}
	a.Kill()
	return nil, fmt.Errorf("the agent is not healthy after %v", startTimeout)
}

// StartAgent starts the program and does not wait until it serves. On Linux it does not outlive the process that started it.
func StartAgent(program, dir, config, operator, listen string, log io.Writer) (*Agent, error) {
	configPath := filepath.Join(dir, ConfigName)
	if err := os.WriteFile(configPath, []byte(config), 0o600); err != nil {
		return nil, err
	}
	a := &Agent{URL: "http://" + listen, exit: make(chan error, 1), done: make(chan struct{})}
	a.command = exec.CommandContext(context.Background(), program)
	a.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	a.command.Env = append(os.Environ(), "GW_CONFIG="+configPath, "SWITCHFORK_OPERATOR=")
	a.command.Stderr = log
	if operator != "" {
		operatorPath := filepath.Join(dir, OptionsName)
		if err := os.WriteFile(operatorPath, []byte(operator), 0o600); err != nil {
			return nil, err
		}
		a.command.Args = append(a.command.Args, "--operator", operatorPath)
	}
	started := make(chan error, 1)
	go a.run(started)
	return a, <-started
}

// run starts the process, reports that, and waits for its end. It keeps its thread meanwhile: with Pdeathsig the system kills
// the process when the thread that started it ends.
func (a *Agent) run(started chan<- error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	err := a.command.Start()
	started <- err
	if err != nil {
		return
	}
	a.exitErr = a.command.Wait()
	a.exit <- a.exitErr
	close(a.exit)
	close(a.done)
}

// IsHealthy reports whether the agent answers health checks with 200.
func (a *Agent) IsHealthy() bool {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, a.URL+"/_health", nil)
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

// Stop drains the agent and waits for its end.
func (a *Agent) Stop() error {
	_ = a.Terminate() // it fails where the process has ended already
	select {
	case err := <-a.exit:
		return err
	case <-time.After(stopTimeout):
		err := fmt.Errorf("the agent did not end %v after SIGTERM", stopTimeout)
		return errors.Join(err, a.command.Process.Kill())
	}
}

// Pause suspends the process until Resume.
func (a *Agent) Pause() error { return a.command.Process.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (a *Agent) Resume() error { return a.command.Process.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for its end.
func (a *Agent) Kill() {
	_ = a.command.Process.Kill() // it fails where the process has ended already
	for range a.exit {
		// That it was killed is no news; the channel is closed after that.
	}
}

// Reload makes the agent read its files again.
func (a *Agent) Reload() error { return a.command.Process.Signal(syscall.SIGHUP) }

// Usage returns the resident memory and the number of open descriptors of the process, zeros where the system does not tell.
func (a *Agent) Usage() (memoryMB float64, descriptors int) {
	folder := filepath.Join("/proc", strconv.Itoa(a.command.Process.Pid))
	open, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		open = nil
	}
	return residentMemoryMB(filepath.Join(folder, "status")), len(open)
}

// residentMemoryMB reads a process's status file.
func residentMemoryMB(path string) float64 {
	status, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for _, field := range strings.Split(string(status), "\n") {
		size, isResident := strings.CutPrefix(field, "VmRSS:")
		if !isResident {
			continue
		}
		kilobytes := 0.0
		if _, err := fmt.Sscan(size, &kilobytes); err != nil {
			return 0
		}
		return kilobytes / kilobytesPerMB
	}
	return 0
}

// BuildAgent builds the agent's program into a folder, with flags for the compiler.
func BuildAgent(dir, name string, flags ...string) (string, error) {
	path := filepath.Join(dir, name)
	arguments := append([]string{"build"}, flags...)
	arguments = append(arguments, "-o", path, "switchfork/cmd/switchfork")
	output, err := exec.CommandContext(context.Background(), "go", arguments...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the agent: %w: %s", err, output)
	}
	return path, nil
}
