package faulttest

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

const (
	// firstProgram is the name of the program that agents start as.
	firstProgram  = ""
	agentMemoryMB = 192
	// startupTimeout is long: many processes start at once on a machine that is busy with other tests.
	startupTimeout = 40 * time.Second
	// tenant is the only one of a scenario.
	tenant = "beqa"
)

// agent is one of the deployment's agents; it keeps its addresses over restarts. The rig's mutex guards process, lifetimes and
// initialVersions.
type agent struct {
	number          int
	dir             string
	adminAddress    string
	stateDir        string
	listenAddress   string
	datagramAddress string
	streamAddress   string // where it accepts the election's streams
	operator        []string
	log             *fakes.Log
	process         *fakes.Agent
	lifetimes       []ProcessLifetime
	initialVersions []configuredVersions
}

// configuredVersions are the versions that the configuration of a process held at its start.
type configuredVersions struct {
	at           netfault.Micros
	endpointList int
	rolloutState int
}

func newAgent(number int, dir string) (*agent, error) {
	a := &agent{number: number, dir: filepath.Join(dir, fmt.Sprintf("agent-%d", number)), log: &fakes.Log{}}
	a.stateDir = filepath.Join(a.dir, "state")
	a.adminAddress = filepath.Join(dir, fmt.Sprintf("a%d", number)) // the path of a Unix socket has to be short
	if err := os.MkdirAll(a.dir, 0o700); err != nil {
		return nil, err
	}
	for _, address := range []*string{&a.listenAddress, &a.datagramAddress, &a.streamAddress} {
		free, err := fakes.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return a, nil
}

// operatorFile is the text of the agent's operator file.
func (a *agent) operatorFile() string { return strings.Join(a.operator, "\n") + "\n" }

// operatorLines are what an agent's operator file holds at the start.
func (r *Rig) operatorLines(a *agent) (lines []string) {
	s := r.scenario
	if !s.HasElection {
		return append(lines, s.OperatorLines...)
	}
	lines = append(lines, "decider on", "decider-lease "+s.Lease.String(), "admin "+a.adminAddress)
	if s.HasStateDirs {
		lines = append(lines, "decider-state "+a.stateDir)
	}
	if s.Transport == transportTCP {
		lines = append(lines, fmt.Sprintf("decider-me %d", a.number), "decider-listen "+a.streamAddress)
		for peer := range r.agents {
			if !slices.Contains(s.AbsentAtStart, peer) {
				lines = append(lines, r.peerLine(a.number, peer))
			}
		}
	}
	return append(lines, s.OperatorLines...)
}

// peerLine names one agent in another's operator file.
func (r *Rig) peerLine(agent, peer int) string {
	address := r.agents[peer].streamAddress
	if peer != agent && !r.withoutRelays {
		address = r.toPeer[agent][peer].Addr()
	}
	return fmt.Sprintf("decider-peer %d %s", peer, address)
}

// agentConfig is the text of an agent's configuration, and the versions that it holds.
func (r *Rig) agentConfig(a *agent) (text string, versions configuredVersions) {
	config := fakes.AgentConfig{
		Index: a.number, Agents: r.scenario.Agents, Build: r.scenario.Build, MemoryMB: agentMemoryMB, Listen: a.listenAddress,
		Discovery: r.currentAddress(r.toDiscovery[a.number], r.discovery.addr()),
		Rollout:   r.currentAddress(r.toRollout[a.number], r.rollout.addr()),
		Tenants:   []string{tenant}, Shares: []float64{1},
		LatencyObjective: latencyObjective, Timeout: requestTimeout, HasNonIdempotent: true,
	}
	versions.endpointList = r.discovery.newestVersion()
	config.Endpoints = r.discovery.document(a.number, versions.endpointList)
	versions.rolloutState, config.RolloutState = r.rollout.stateJSON()
	if r.scenario.Transport == transportDatagrams {
		config.PeerListen = a.datagramAddress
		config.Peers, config.PeersAll = r.datagramPeers(a)
	}
	return config.File(), versions
}

// datagramPeers are the addresses at which an agent reaches each peer, and all at once.
func (r *Rig) datagramPeers(a *agent) (peers []string, all string) {
	for peer, b := range r.agents {
		address := b.datagramAddress
		if !r.withoutRelays {
			address = r.mesh.Address(a.number, peer)
		}
		peers = append(peers, address)
	}
	if !r.withoutRelays {
		all = r.mesh.BroadcastAddress(a.number)
	}
	return peers, all
}

// startAgents starts all agents that are there at the start, at one time.
func (r *Rig) startAgents() error {
	var present []int
	for i, a := range r.agents {
		a.operator = r.operatorLines(a)
		if !slices.Contains(r.scenario.AbsentAtStart, i) {
			present = append(present, i)
		}
	}
	failed := make(chan error, len(present))
	for _, i := range present {
		go func() { failed <- r.startAgent(r.agents[i], firstProgram) }()
	}
	var first error
	for range present {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// startAgent starts an agent's process and waits until it serves.
func (r *Rig) startAgent(a *agent, program string) error {
	path, isKnown := r.programs[program]
	if !isKnown {
		return fmt.Errorf("program %q is not named", program)
	}
	text, versions := r.agentConfig(a)
	versions.at = r.now()
	r.mu.Lock()
	lifetime := len(a.lifetimes)
	a.lifetimes = append(a.lifetimes, ProcessLifetime{Start: versions.at, End: -1, TermSentAt: -1})
	a.initialVersions = append(a.initialVersions, versions)
	r.mu.Unlock()
	process, err := fakes.StartAgent(path, a.dir, text, a.operatorFile(), a.listenAddress, a.log)
	if err != nil {
		return err
	}
	r.mu.Lock()
	a.process = process
	r.mu.Unlock()
	started := fmt.Sprintf("agent %d starts", a.number)
	if program != firstProgram {
		started += " as " + program
	}
	r.recordEvent("rig", "%s", started)
	go r.recordExit(a, process, lifetime)
	return r.awaitHealthy(a, process)
}

// recordExit waits for the end of a process and records it, if its end wasn't recorded before.
func (r *Rig) recordExit(a *agent, process *fakes.Agent, lifetime int) {
	<-process.Done()
	r.mu.Lock()
	if l := &a.lifetimes[lifetime]; l.End < 0 { // not the last lifetime: another process may have started by now
		l.End = r.now()
	}
	r.mu.Unlock()
	r.recordEvent("rig", "agent %d's process is over", a.number)
}

func (r *Rig) awaitHealthy(a *agent, process *fakes.Agent) error {
	deadline := time.Now().Add(startupTimeout)
	for {
		switch {
		case process.IsHealthy():
			return nil
		case process.HasExited():
			return fmt.Errorf("agent %d has ended at its start", a.number)
		case time.Now().After(deadline):
			return fmt.Errorf("agent %d does not serve %v after its start", a.number, startupTimeout)
		}
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// runningAgents are the agents whose processes run and weren't asked to end, as a front that checks their health would see them.
func (r *Rig) runningAgents() (out []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, a := range r.agents {
		n := len(a.lifetimes)
		if n > 0 && a.lifetimes[n-1].End < 0 && a.lifetimes[n-1].TermSentAt < 0 && a.process != nil {
			out = append(out, i)
		}
	}
	return out
}

// wasKilled tells whether an agent's newest process is over, or one that was not asked to end and lived at a time: the next may have
// started by now.
func (r *Rig) wasKilled(agent int, at netfault.Micros) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lifetimes := r.agents[agent].lifetimes
	n := len(lifetimes)
	return n == 0 || lifetimes[n-1].End >= 0 || slices.ContainsFunc(lifetimes, func(l ProcessLifetime) bool {
		return l.Start <= at && l.End >= at && l.TermSentAt < 0
	})
}

// writeLogs writes each agent's log.
func (r *Rig) writeLogs(create func(name string) (io.WriteCloser, error)) error {
	for _, a := range r.agents {
		w, err := create(fmt.Sprintf("agent-%d.log", a.number))
		if err != nil {
			return err
		}
		_, err = io.WriteString(w, a.log.String())
		if closeErr := w.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return err
		}
	}
	return nil
}
