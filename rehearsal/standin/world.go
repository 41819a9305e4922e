package standin

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// World is all that an agent meets but clients: appliances, discovery and launcher.
type World struct {
	Discovery, Launcher *Streamer
	mu                  sync.Mutex
	all                 []*Appliance
	seq                 int
	votes               map[string]int // by verdict, of the newest build
	Tenants             []string
	Shares              []float64
	SLA, Expiry         time.Duration
	news                string
	log                 []CastVote
	silent              bool
	Peers               []string // the agents' addresses for datagrams; none: they may say nothing to each other
}

// CastVote is a vote as the launcher got it.
type CastVote struct {
	At           time.Time
	Build, Stage int
	Opinion      string
}

// Log is all votes so far.
func (w *World) Log() []CastVote {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]CastVote(nil), w.log...)
}

// Silence has the launcher take votes and answer none, or answer again.
func (w *World) Silence(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = on
}

// NewWorld starts discovery and launcher, with a build that has long been released.
func NewWorld(tenants []string, shares []float64, sla, expiry time.Duration) (*World, error) {
	w := &World{Tenants: tenants, Shares: shares, SLA: sla, Expiry: expiry, seq: 1, votes: map[string]int{}}
	list, err := Listen()
	if err != nil {
		return nil, err
	}
	desk, err := Listen()
	if err != nil {
		return nil, err
	}
	w.Discovery = NewStreamer(list, "\n", time.Second, func(asked string) string {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.line()
	})
	w.Launcher = NewStreamer(desk, ":\n", time.Second, func(asked string) string {
		w.mu.Lock()
		defer w.mu.Unlock()
		if form, is := strings.CutPrefix(asked, "POST /api/ "); is {
			v, err := url.ParseQuery(form)
			if err != nil {
				return "400|<Error><Code>ValidationError</Code></Error>"
			}
			w.votes[v.Get("opinion")]++
			build, _ := strconv.Atoi(v.Get("image"))
			stage, _ := strconv.Atoi(v.Get("ring"))
			w.log = append(w.log, CastVote{time.Now(), build, stage, v.Get("opinion")})
			if w.silent {
				return NoAnswer
			}
			return "400|<Error><Code>ConditionFailed</Code></Error>"
		}
		return w.news
	})
	return w, nil
}

func (w *World) line() string {
	var rows []string
	for _, a := range w.all {
		rows = append(rows, a.Row("active"))
	}
	return Line(w.seq, true, rows...)
}

// Add starts appliances and lists them.
func (w *World) Add(many, build, slots int, work time.Duration, seed int64) ([]*Appliance, error) {
	var fresh []*Appliance
	for i := range many {
		a, err := NewAppliance(fmt.Sprintf("s-%d-%d", build, i), build, slots, work, seed+int64(i))
		if err != nil {
			return fresh, err
		}
		fresh = append(fresh, a)
	}
	w.mu.Lock()
	w.all = append(w.all, fresh...)
	w.seq++
	text := w.line()
	w.mu.Unlock()
	w.Discovery.Say(text)
	return fresh, nil
}

// News tells where the newest build stands, and forgets the votes on what stood before.
func (w *World) News(build, stage int, progress string, ceiling float64) {
	text := Bulletin(build, stage, progress, ceiling)
	w.mu.Lock()
	w.news = text
	w.votes = map[string]int{}
	w.mu.Unlock()
	w.Launcher.Say(text)
}

// Votes counts a verdict since the last news.
func (w *World) Votes(verdict string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.votes[verdict]
}

// Appliances are all that were added.
func (w *World) Appliances() []*Appliance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Appliance(nil), w.all...)
}

// Close ends all parties.
func (w *World) Close() {
	w.Discovery.Close()
	w.Launcher.Close()
	for _, a := range w.Appliances() {
		a.Close()
	}
}

// config is an agent's file for this world.
func (w *World) config(listen string, me, agents, build, memoryMB int) string {
	var parties []string
	for i, name := range w.Tenants {
		parties = append(parties, fmt.Sprintf(`{"Name":%q,"Fraction":%g}`, name, w.Shares[i]))
	}
	sla, expiry := float64(w.SLA.Milliseconds()), float64(w.Expiry.Milliseconds())
	circle := ""
	if len(w.Peers) > 0 {
		circle = fmt.Sprintf(`"peer_listen":%q,"peers":["%s"],`, w.Peers[me], strings.Join(w.Peers, `","`))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf(`{"name":"n0",%s"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":%d,
"sockets":1024},"platform":{"address":%q,"news":{"image":%d,"ring":2,"progress":"live","ceiling":1,"lag_ms":90000}},"known":%s,
"settings":{"Me":%d,"Balancers":%d,"Zone":0,"Discovery":"automatic","Localities":["suva"],"Grades":[
{"Name":"lookup","Repeat":"read_like","SloMs":%g,"HardLimitMs":%g,"Worth":1.0},
{"Name":"posting","Repeat":"idempotency_key","KeyScope":"all","WindowMs":8000.0,"SloMs":%g,"HardLimitMs":%g,"Worth":5.0}],
"Parties":[%s],"Feedback":{"How":"off"},"FamilyInfo":{"StageCap":[0.2,0.6,1.0],"StageShare":[0.1,0.4,1.0],"Shielded":1,
"Swap":"beside","VoteStandsMs":4000.0,"CallTimeoutMs":800.0,"ApiRate":50.0,"VoteMode":"any","VotesToGo":1,"NoesNeeded":1,
"CountedOverMs":4000.0,"Allowance":3.0,"CountedBy":"all"},"Safety":{"ColdFrom":0.3,"ColdMs":3000.0,"TipMultiple":2.0,
"TipAfterMs":1500.0,"DrainGraceMs":1000.0,"GraceToAnswerMs":20.0},"Limits":{"MaxAttempts":3,"DialTimeoutMs":250.0,
"ConnIdleMs":30000.0,"RetryAfter":true,"MaxRetryAfterMs":2000.0,"OpenCap":1000,"Probes":true,"MayTell":%t}}}`,
		circle, listen, w.Discovery.Addr(), memoryMB, w.Launcher.Addr(), build, strings.TrimSpace(w.line()),
		me, agents, sla, expiry, sla, expiry, strings.Join(parties, ","), circle != "")
}

// Agent is the program at work in a world.
type Agent struct {
	URL  string
	cmd  *exec.Cmd
	exit chan error
}

// Start writes the agent's files into a folder, starts the program and waits until it serves.
func (w *World) Start(program, dir, operator string, build, memoryMB int, log io.Writer) (*Agent, error) {
	return w.StartAs(0, 1, program, dir, operator, build, memoryMB, log)
}

// StartAs starts one of several agents.
func (w *World) StartAs(me, agents int, program, dir, operator string, build, memoryMB int, log io.Writer) (*Agent, error) {
	listen, err := Free()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "config.json")
	if err = os.WriteFile(file, []byte(w.config(listen, me, agents, build, memoryMB)), 0o600); err != nil {
		return nil, err
	}
	a := &Agent{URL: "http://" + listen, exit: make(chan error, 1)}
	a.cmd = exec.Command(program)
	a.cmd.Env, a.cmd.Stderr = append(os.Environ(), "GW_CONFIG="+file, "SWITCHFORK_OPERATOR="), log
	if operator != "" {
		path := filepath.Join(dir, "operator.conf")
		if err = os.WriteFile(path, []byte(operator), 0o600); err != nil {
			return nil, err
		}
		a.cmd.Args = append(a.cmd.Args, "--operator", path)
	}
	if err = a.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { a.exit <- a.cmd.Wait(); close(a.exit) }()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case err = <-a.exit:
			return nil, fmt.Errorf("the agent has ended: %w", err)
		default:
		}
		if r, err := http.Get(a.URL + "/_health"); err == nil {
			r.Body.Close()
			return a, nil
		}
	}
	a.cmd.Process.Kill()
	return nil, fmt.Errorf("the agent is not healthy after 10 s")
}

// Stop drains the agent and waits for its end.
func (a *Agent) Stop() error {
	a.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-a.exit:
		return err
	case <-time.After(10 * time.Second):
		a.cmd.Process.Kill()
		return fmt.Errorf("the agent did not end 10 s after SIGTERM")
	}
}

// Freeze stops the process where it is, and Thaw lets it go on; Kill ends it at once.
func (a *Agent) Freeze() error { return a.cmd.Process.Signal(syscall.SIGSTOP) }
func (a *Agent) Thaw() error   { return a.cmd.Process.Signal(syscall.SIGCONT) }
func (a *Agent) Kill() {
	a.cmd.Process.Kill()
	<-a.exit
}

// Reload has the agent read its files again.
func (a *Agent) Reload() error { return a.cmd.Process.Signal(syscall.SIGHUP) }

// Held is what the process holds now: memory in MB and descriptors. Zeros where the system does not tell.
func (a *Agent) Held() (memoryMB float64, descriptors int) {
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
