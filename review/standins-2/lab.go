// Command review2 plays the cases 6 to 10 of the review: it starts real agents by the deploy file's run line, beside small stand-ins for
// clients, servers, discovery and the platform, all on loopback, and checks one rule on what those stand-ins saw.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab holds what a case has started, and its record.
type lab struct {
	dir     string // temporary folder
	trouble bool
	start   time.Time

	mu    sync.Mutex
	lines []recordLine
	procs []*exec.Cmd
}

type recordLine struct {
	at   time.Time
	text string
}

// fatal ends a case that could not run.
type fatal struct{ reason string }

func newLab() *lab {
	dir, err := os.MkdirTemp("", "review2-")
	must(err)
	return &lab{dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
}

func must(err error) {
	if err != nil {
		panic(fatal{err.Error()})
	}
}

func must1[T any](value T, err error) T {
	must(err)
	return value
}

// note adds a line to the record.
func (l *lab) note(format string, args ...any) { l.noteAt(time.Now(), format, args...) }

func (l *lab) noteAt(at time.Time, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, recordLine{at, fmt.Sprintf(format, args...)})
}

func (l *lab) writeRecord(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sort.SliceStable(l.lines, func(i, j int) bool { return l.lines[i].at.Before(l.lines[j].at) })
	var out bytes.Buffer
	for _, line := range l.lines {
		fmt.Fprintf(&out, "%9.3f %s\n", line.at.Sub(l.start).Seconds(), line.text)
	}
	_ = os.WriteFile(path, out.Bytes(), 0o644)
}

// stopAll ends every process that the case has started, by its id.
func (l *lab) stopAll() {
	l.mu.Lock()
	procs := l.procs
	l.procs = nil
	l.mu.Unlock()
	for _, p := range procs {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	for _, p := range procs {
		_ = p.Wait()
	}
	_ = os.RemoveAll(l.dir)
}

// freeAddress returns a loopback address whose port is free now. It lies below the ports that the system gives to clients, so that no
// client's connection takes it before the agent listens.
func freeAddress() string {
	for range 1000 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(17000)))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String()
		}
	}
	panic(fatal{"no free port"})
}

// runLine returns the command of the deploy file that starts an agent.
func runLine() string {
	raw := must1(os.ReadFile("deploy/balancer.toml"))
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(raw)
	if found == nil {
		panic(fatal{"deploy/balancer.toml has no run line"})
	}
	return string(found[1])
}

// agent is a real agent.
type agent struct {
	lab     *lab
	name    string
	listen  string
	file    string
	command *exec.Cmd
	ended   chan struct{}
}

// startAgent writes the configuration and starts an agent. extra are further arguments of the run line.
func (l *lab) startAgent(config map[string]any, extra string) *agent {
	a := &agent{lab: l, name: config["name"].(string), listen: config["listen"].(string)}
	a.file = filepath.Join(l.dir, a.name+".json")
	a.configure(config)
	a.launch(extra)
	return a
}

func (a *agent) configure(config map[string]any) {
	raw := must1(json.Marshal(config))
	must(os.WriteFile(a.file+".new", raw, 0o600))
	must(os.Rename(a.file+".new", a.file))
}

func (a *agent) launch(extra string) {
	a.command = exec.Command("/bin/sh", "-c", runLine()+extra)
	a.command.Env = append(os.Environ(), "GW_CONFIG="+a.file, "TMPDIR="+a.lab.dir)
	logFile := must1(os.OpenFile(filepath.Join(a.lab.dir, a.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600))
	a.command.Stdout, a.command.Stderr = logFile, logFile
	must(a.command.Start())
	logFile.Close()
	a.lab.mu.Lock()
	a.lab.procs = append(a.lab.procs, a.command)
	a.lab.mu.Unlock()
	a.lab.note("agent %s started, pid %d, listens on %s", a.name, a.command.Process.Pid, a.listen)
}

func (a *agent) signal(s syscall.Signal) {
	must(a.command.Process.Signal(s))
	a.lab.note("agent %s gets %v", a.name, s)
}

// awaitHealthy waits until the agent answers its health check.
func (a *agent) awaitHealthy() {
	end := time.Now().Add(15 * time.Second)
	for time.Now().Before(end) {
		if status, _, err := call(a.listen, "GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", time.Second); err == nil && status == 200 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic(fatal{"agent " + a.name + " did not become healthy: " + a.log()})
}

func (a *agent) log() string {
	raw, _ := os.ReadFile(filepath.Join(a.lab.dir, a.name+".log"))
	return string(raw)
}

// copyLog adds the lines of the agent's log that hold one of the words to the record.
func (a *agent) copyLog(words ...string) {
	for _, line := range strings.Split(a.log(), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) {
				a.lab.note("log of %s: %s", a.name, line)
				break
			}
		}
	}
}

// verdict is what a case found.
type verdict struct {
	broken []string // one line for each break of the rule
	seen   string   // what was checked
}

func main() {
	cases := map[string]func(*lab) verdict{}
	for name, play := range allCases() {
		cases[name] = play
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD, from the root of the repository")
		os.Exit(2)
	}
	l := newLab()
	code := 2
	signal.Ignore(syscall.SIGPIPE) // who reads the output may leave first
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-ended
		l.stopAll()
		os.Exit(2)
	}()
	func() {
		defer l.stopAll()
		defer func() {
			if cause := recover(); cause != nil {
				f, ok := cause.(fatal)
				if !ok {
					panic(cause)
				}
				l.note("could not run: %s", f.reason)
				fmt.Println("could not run:", f.reason)
			}
		}()
		time.AfterFunc(115*time.Second, func() {
			l.note("could not run: over 115 s")
			l.writeRecord(os.Args[2])
			l.stopAll()
			os.Exit(2)
		})
		result := cases[os.Args[1]](l)
		for _, line := range result.broken {
			l.note("BROKEN: %s", line)
		}
		l.note("checked: %s; %d breaks", result.seen, len(result.broken))
		fmt.Printf("%s: %s; %d breaks\n", os.Args[1], result.seen, len(result.broken))
		code = 0
		if len(result.broken) > 0 {
			code = 1
			fmt.Println(result.broken[0])
		}
	}()
	l.writeRecord(os.Args[2])
	os.Exit(code)
}
