package fakes

import (
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

// Agent is the program at work in a world.
type Agent struct {
	URL  string
	cmd  *exec.Cmd
	exit chan error
	over chan struct{}
}

// Start writes the agent's files into a folder, starts the program and waits until it serves.
func (w *Deployment) Start(program, dir, operator string, build, memoryMB int, log io.Writer) (*Agent, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	return StartReadyAgent(program, dir, w.config(listen, build, memoryMB), operator, listen, log)
}

// StartReadyAgent starts the program with these files in a folder, and waits until it serves.
func StartReadyAgent(program, dir, config, operator, listen string, log io.Writer) (*Agent, error) {
	a, err := StartAgent(program, dir, config, operator, listen, log)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if a.HasExited() {
			return nil, fmt.Errorf("the agent has ended: %w", <-a.exit)
		}
		if a.IsHealthy() {
			return a, nil
		}
	}
	a.Kill()
	return nil, fmt.Errorf("the agent is not healthy after 10 s")
}

// ConfigName and OperatorFile are the names of an agent's files in its folder.
const ConfigName, OptionsName = "config.json", "operator.conf"

// StartAgent starts the program and does not wait until it serves. On Linux it does not outlive who started it.
func StartAgent(program, dir, config, operator, listen string, log io.Writer) (*Agent, error) {
	file := filepath.Join(dir, ConfigName)
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return nil, err
	}
	a := &Agent{URL: "http://" + listen, exit: make(chan error, 1), over: make(chan struct{})}
	a.cmd = exec.Command(program)
	a.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	a.cmd.Env, a.cmd.Stderr = append(os.Environ(), "GW_CONFIG="+file, "SWITCHFORK_OPERATOR="), log
	if operator != "" {
		path := filepath.Join(dir, OptionsName)
		if err := os.WriteFile(path, []byte(operator), 0o600); err != nil {
			return nil, err
		}
		a.cmd.Args = append(a.cmd.Args, "--operator", path)
	}
	started := make(chan error, 1)
	go func() {
		runtime.LockOSThread() // the system ends the process when the thread that started it ends
		defer runtime.UnlockOSThread()
		err := a.cmd.Start()
		if started <- err; err == nil {
			a.exit <- a.cmd.Wait()
			close(a.exit)
			close(a.over)
		}
	}()
	return a, <-started
}

// IsHealthy tells whether the agent says that it serves.
func (a *Agent) IsHealthy() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(a.URL + "/_health")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// HasExited tells whether the process is over; Over is closed then.
func (a *Agent) HasExited() bool {
	select {
	case <-a.over:
		return true
	default:
		return false
	}
}

func (a *Agent) Done() <-chan struct{} { return a.over }

// Terminate asks the agent to drain and end.
func (a *Agent) Terminate() error { return a.cmd.Process.Signal(syscall.SIGTERM) }

// Stop drains the agent and waits for its end.
func (a *Agent) Stop() error {
	a.Terminate()
	select {
	case err := <-a.exit:
		return err
	case <-time.After(10 * time.Second):
		a.cmd.Process.Kill()
		return fmt.Errorf("the agent did not end 10 s after SIGTERM")
	}
}

// Pause stops the process where it is, and Thaw lets it go on; Kill ends it at once.
func (a *Agent) Pause() error  { return a.cmd.Process.Signal(syscall.SIGSTOP) }
func (a *Agent) Resume() error { return a.cmd.Process.Signal(syscall.SIGCONT) }
func (a *Agent) Kill() {
	a.cmd.Process.Kill()
	<-a.exit
}

// Reload has the agent read its files again.
func (a *Agent) Reload() error { return a.cmd.Process.Signal(syscall.SIGHUP) }

// Usage is what the process holds now: memory in MB and descriptors. Zeros where the system does not tell.
func (a *Agent) Usage() (memoryMB float64, descriptors int) {
	pid := strconv.Itoa(a.cmd.Process.Pid)
	status, _ := os.ReadFile("/proc/" + pid + "/status")
	for _, l := range strings.Split(string(status), "\n") {
		if kb, is := strings.CutPrefix(l, "VmRSS:"); is {
			fmt.Sscan(kb, &memoryMB)
			memoryMB /= 1024
		}
	}
	open, _ := os.ReadDir("/proc/" + pid + "/fd")
	return memoryMB, len(open)
}

// BuildAgent builds the agent's program into a folder, with flags for the compiler.
func BuildAgent(dir, name string, flags ...string) (string, error) {
	path := filepath.Join(dir, name)
	args := append(append([]string{"build"}, flags...), "-o", path, "switchfork/cmd/switchfork")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the agent: %w: %s", err, out)
	}
	return path, nil
}
