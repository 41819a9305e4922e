package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const handoverOperator = `leader-election on
election-lease 2s
election-group ledger
`

// handoverStandstill is how long the launcher stands still. It is within the 6.4 to 13 s that the pages name.
const handoverStandstill = 12500 * time.Millisecond

// handover is the state of the case.
type handover struct {
	*stage
	agents   []*agentProcess
	launcher *exec.Cmd
	orders   io.Writer
	isBad    atomic.Bool // the new build fails

	mu        sync.Mutex
	approvers []int // agents that have written a vote to approve build 2, in order
	conflicts int
	recalls   int
}

// playHandover has three agents elect a leader, and offers a build. The leader votes for it while the launcher stands still, and is then
// restarted by SIGTERM. The build turns bad, and the next leader votes it back. With the disruption off, the launcher does not stand still.
func playHandover(s *stage) error {
	h := &handover{stage: s}
	defer h.end()
	behave := func(call) answer { return answer{status: http.StatusOK, body: "found", after: 15 * time.Millisecond} }
	var endpoints []*endpoint
	for i := range 10 {
		e, err := startEndpoint(fmt.Sprintf("s-%08x", 0x5be20000+i), "east", 1, 0, behave)
		if err != nil {
			return err
		}
		endpoints = append(endpoints, e)
	}
	list, err := startDiscovery(endpoints...)
	if err != nil {
		return err
	}
	if err = h.startAgents(list); err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	for _, a := range h.agents {
		go h.load(a, done)
	}

	time.Sleep(10 * time.Second) // agents without a disk abstain from the election for a while after their start
	born := time.Now()
	newest, err := startEndpoint("s-6a000000", "east", 2, born.UnixMilli(), func(call) answer {
		if h.isBad.Load() {
			return answer{status: http.StatusInternalServerError, body: "failed", after: 15 * time.Millisecond}
		}
		return answer{status: http.StatusOK, body: "found", after: 15 * time.Millisecond}
	})
	if err != nil {
		return err
	}
	list.add(newest)
	s.record.add("build 2 is offered, on endpoint %s", newest.host)
	_, _ = fmt.Fprintln(h.orders, 2)
	time.Sleep(leastStage - 150*time.Millisecond) // no agent votes for a wave before it has run for its least time
	stoodStillAt := time.Now()
	if s.trouble {
		s.record.add("the launcher stands still (SIGSTOP)")
		_ = h.launcher.Process.Signal(syscall.SIGSTOP)
	}
	leader, err := h.waitForApproval(6 * time.Second)
	if err != nil {
		return err
	}
	time.Sleep(time.Second) // the leader's call is answered, or given up
	s.record.add("agent %d is restarted (SIGTERM)", leader)
	h.agents[leader].signal(syscall.SIGTERM)
	h.isBad.Store(true)
	s.record.add("build 2 turns bad: it fails all that it gets")
	if s.trouble {
		time.Sleep(time.Until(stoodStillAt.Add(handoverStandstill)))
		s.record.add("the launcher goes on (SIGCONT) after %v", time.Since(stoodStillAt).Round(time.Millisecond))
		_ = h.launcher.Process.Signal(syscall.SIGCONT)
		time.Sleep(5 * time.Second)
	} else {
		time.Sleep(15 * time.Second)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.recalls == 0 {
		return errors.New("build 2 was not voted back")
	}
	if h.conflicts > 0 {
		return fmt.Errorf("%w: %d conflicting decisions took effect together", errBroken, h.conflicts)
	}
	return nil
}

// startAgents starts the launcher, the agents' ways to it, and the agents.
func (h *handover) startAgents(list *discovery) error {
	addresses, err := freeAddresses("tcp", 4)
	if err != nil {
		return err
	}
	peers, err := freeAddresses("udp", 3)
	if err != nil {
		return err
	}
	if err = h.startLauncher(addresses[3]); err != nil {
		return err
	}
	d := deployment{
		agents: 3, voteStandsMs: float64(voteStands.Milliseconds()),
		classes: []class{
			{name: "lookup", repeat: "read_like", sloMs: 1500, limitMs: 5000, worth: 1},
			{name: "posting", repeat: "idempotency_key", scope: "zone", sloMs: 1500, limitMs: 4000, worth: 5},
		},
	}
	known, _, _ := list.list(0, true)
	news := object{"image": 1, "ring": 3, "progress": "live", "ceiling": 1.0, "lag_ms": 90000}
	for i := range 3 {
		platform, err := h.startWayToLauncher(i, addresses[3])
		if err != nil {
			return err
		}
		a, err := startAgent(h.root, h.folder, d.agentConfig(i, addresses[i], list.address, platform, known, news, peers), handoverOperator)
		if err != nil {
			return err
		}
		h.agents = append(h.agents, a)
	}
	return nil
}

// startLauncher starts the launcher as a process of its own and takes what it says to the record.
func (h *handover) startLauncher(address string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	h.launcher = exec.Command(self, "launcher", "-address", address)
	orders, err := h.launcher.StdinPipe()
	if err != nil {
		return err
	}
	said, err := h.launcher.StdoutPipe()
	if err != nil {
		return err
	}
	h.orders = orders
	if err = startChild(h.launcher, make(chan struct{})); err != nil {
		return err
	}
	lines := bufio.NewScanner(said)
	if !lines.Scan() {
		return errors.New("the launcher has ended")
	}
	go func() {
		for lines.Scan() {
			h.hear(lines.Text())
		}
	}()
	return nil
}

func (h *handover) hear(line string) {
	at, text, _ := strings.Cut(line, " ")
	micros, _ := strconv.ParseInt(at, 10, 64)
	h.record.addAt(time.UnixMicro(micros), "launcher: %s", text)
	h.mu.Lock()
	defer h.mu.Unlock()
	if strings.HasPrefix(text, "CONFLICT") {
		h.conflicts++
	}
	if strings.HasPrefix(text, "build 2") && strings.HasSuffix(text, "recalling") {
		h.recalls++
	}
}

// startWayToLauncher relays an agent's connections to the launcher, which they reach from 127.0.1.N. It passes ends and resets on.
func (h *handover) startWayToLauncher(index int, launcher string) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(index))}}
	go func() {
		for {
			agent, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := dialer.Dial("tcp", launcher)
			if err != nil {
				_ = agent.Close()
				continue
			}
			go pass(agent, server, nil)
			go pass(server, agent, func(data []byte) { h.see(index, data) })
		}
	}()
	return listener.Addr().String(), nil
}

// see notes the votes that an agent writes.
func (h *handover) see(agent int, data []byte) {
	_, vote, isVote := strings.Cut(string(data), "Action=RecordOpinion&")
	if !isVote {
		return
	}
	h.record.add("agent %d writes the vote %s", agent, vote)
	if strings.HasPrefix(vote, "image=2&ring=0&opinion=approve") {
		h.mu.Lock()
		h.approvers = append(h.approvers, agent)
		h.mu.Unlock()
	}
}

// pass copies from one connection to another until either ends, and then ends the other in the same way.
func pass(to, from net.Conn, see func([]byte)) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if see != nil {
				see(buffer[:n])
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			_ = to.Close()
			return
		}
	}
}

// waitForApproval returns the agent that writes the first vote to approve build 2.
func (h *handover) waitForApproval(limit time.Duration) (agent int, err error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		h.mu.Lock()
		if len(h.approvers) > 0 {
			agent = h.approvers[0]
			h.mu.Unlock()
			return agent, nil
		}
		h.mu.Unlock()
	}
	return 0, errors.New("no agent voted for build 2")
}

// load sends look-ups to an agent, 40 a second, as long as it runs.
func (h *handover) load(a *agentProcess, done <-chan struct{}) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-done:
			return
		case <-a.done:
			return
		case <-ticker.C:
		}
		go func() {
			target := fmt.Sprintf("/lookup?sid=%016x", 0x9000+number%3000)
			request, _ := http.NewRequest(http.MethodGet, "http://"+a.address+target, http.NoBody)
			request.Header.Set("X-Request-Id", fmt.Sprintf("%s%014x", a.name, number))
			request.Header.Set("X-Tenant", "crew")
			request.Header.Set("X-Deadline-Ms", "4000")
			if response, err := client.Do(request); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}()
	}
}

// end ends all processes that the case has started.
func (h *handover) end() {
	for _, a := range h.agents {
		a.kill()
	}
	if h.launcher != nil && h.launcher.Process != nil {
		_ = h.launcher.Process.Kill()
	}
}
