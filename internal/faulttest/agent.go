package faulttest

import (
	"context"
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

// agent is one of the deployment's agents; it keeps its addresses over restarts. The deployment's mutex guards process, lifetimes and
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

func newAgent(ctx context.Context, number int, dir string) (*agent, error) {
	a := &agent{number: number, dir: filepath.Join(dir, fmt.Sprintf("agent-%d", number)), log: &fakes.Log{}}
	a.stateDir = filepath.Join(a.dir, "state")
	a.adminAddress = filepath.Join(dir, fmt.Sprintf("a%d", number)) // the path of a Unix socket has to be short
	if err := os.MkdirAll(a.dir, 0o700); err != nil {
		return nil, err
	}
	for _, address := range []*string{&a.listenAddress, &a.datagramAddress, &a.streamAddress} {
		free, err := fakes.FreeAddress(ctx)
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
func (d *deployment) operatorLines(a *agent) (lines []string) {
	s := d.scenario
	if !s.HasElection {
		return append(lines, s.OperatorLines...)
	}
	lines = append(lines, "decider on", "decider-lease "+s.Lease.String(), "admin "+a.adminAddress)
	if s.HasStateDirs {
		lines = append(lines, "decider-state "+a.stateDir)
	}
	if s.Transport == transportTCP {
		lines = append(lines, fmt.Sprintf("decider-me %d", a.number), "decider-listen "+a.streamAddress)
		for peer := range d.agents {
			if !slices.Contains(s.AbsentAtStart, peer) {
				lines = append(lines, d.peerLine(a.number, peer))
			}
		}
	}
	return append(lines, s.OperatorLines...)
}

// peerLine names one agent in another's operator file.
func (d *deployment) peerLine(agent, peer int) string {
	address := d.agents[peer].streamAddress
	if peer != agent && !d.withoutRelays {
		address = d.toPeer[agent][peer].Addr()
	}
	return fmt.Sprintf("decider-peer %d %s", peer, address)
}

// agentConfig is the text of an agent's configuration, and the versions that it holds.
func (d *deployment) agentConfig(a *agent) (text string, versions configuredVersions) {
	versions.endpointList = d.discovery.newestVersion()
	initial := fakes.InitialState{Endpoints: d.discovery.document(a.number, versions.endpointList)}
	versions.rolloutState, initial.Rollout = d.rollout.stateJSON()
	config := fakes.AgentConfig{
		Index: a.number, Agents: d.scenario.Agents, Build: d.scenario.Build, MemoryMB: agentMemoryMB,
		Addresses: fakes.AgentAddresses{
			Listen:    a.listenAddress,
			Discovery: d.currentAddress(d.toDiscovery[a.number], d.discovery.addr()),
			Rollout:   d.currentAddress(d.toRollout[a.number], d.rollout.addr()),
		},
		Initial: initial,
		Requests: fakes.RequestSettings{
			Tenants: []fakes.Tenant{{Name: tenant, Share: 1}}, LatencyObjective: latencyObjective, Timeout: requestTimeout, HasNonIdempotent: true,
		},
	}
	if d.scenario.Transport == transportDatagrams {
		config.Peers = d.datagramPeers(a)
	}
	return config.File(), versions
}

// datagramPeers are the addresses at which an agent reaches each peer, and all at once.
func (d *deployment) datagramPeers(a *agent) fakes.PeerAddresses {
	addresses := fakes.PeerAddresses{Listen: a.datagramAddress}
	for peer, b := range d.agents {
		address := b.datagramAddress
		if !d.withoutRelays {
			address = d.mesh.Address(a.number, peer)
		}
		addresses.Peers = append(addresses.Peers, address)
	}
	if !d.withoutRelays {
		addresses.Broadcast = d.mesh.BroadcastAddress(a.number)
	}
	return addresses
}

// startAgents starts all agents that are there at the start, at one time.
func (d *deployment) startAgents() error {
	var present []int
	for i, a := range d.agents {
		a.operator = d.operatorLines(a)
		if !slices.Contains(d.scenario.AbsentAtStart, i) {
			present = append(present, i)
		}
	}
	failed := make(chan error, len(present))
	for _, i := range present {
		go func() { failed <- d.startAgent(d.agents[i], firstProgram) }()
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
func (d *deployment) startAgent(a *agent, program string) error {
	path, isKnown := d.programs[program]
	if !isKnown {
		return fmt.Errorf("program %q is not named", program)
	}
	text, versions := d.agentConfig(a)
	versions.at = d.now()
	d.mu.Lock()
	lifetime := len(a.lifetimes)
	a.lifetimes = append(a.lifetimes, ProcessLifetime{Start: versions.at, End: -1, TermSentAt: -1})
	a.initialVersions = append(a.initialVersions, versions)
	d.mu.Unlock()
	process, err := fakes.StartAgent(d.ctx, fakes.AgentOptions{
		Program: path, Dir: a.dir, Config: text, OperatorFile: a.operatorFile(), ListenAddress: a.listenAddress, Log: a.log,
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	a.process = process
	d.mu.Unlock()
	started := fmt.Sprintf("agent %d starts", a.number)
	if program != firstProgram {
		started += " as " + program
	}
	d.recordEvent("rig", "%s", started)
	go d.recordExit(a, process, lifetime)
	if err := process.WaitHealthy(d.ctx, startupTimeout, pollInterval); err != nil {
		return fmt.Errorf("starting agent %d: %w", a.number, err)
	}
	return nil
}

// recordExit waits for the end of a process and records it, if its end wasn't recorded before.
func (d *deployment) recordExit(a *agent, process *fakes.Agent, lifetime int) {
	<-process.Done()
	d.mu.Lock()
	if l := &a.lifetimes[lifetime]; l.End < 0 { // not the last lifetime: another process may have started by now
		l.End = d.now()
		if err := process.ExitError(); err != nil {
			l.ExitError = err.Error()
		}
	}
	d.mu.Unlock()
	d.recordEvent("rig", "agent %d's process is over", a.number)
}

// runningAgents are the agents whose processes run and weren't asked to end, as a front that checks their health would see them.
func (d *deployment) runningAgents() (out []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, a := range d.agents {
		n := len(a.lifetimes)
		if n > 0 && a.lifetimes[n-1].End < 0 && a.lifetimes[n-1].TermSentAt < 0 && a.process != nil {
			out = append(out, i)
		}
	}
	return out
}

// wasKilled tells whether an agent's newest process is over, or one that was not asked to end and lived at a time: the next may have
// started by now.
func (d *deployment) wasKilled(agent int, at netfault.Micros) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	lifetimes := d.agents[agent].lifetimes
	n := len(lifetimes)
	return n == 0 || lifetimes[n-1].End >= 0 || slices.ContainsFunc(lifetimes, func(l ProcessLifetime) bool {
		return l.Start <= at && l.End >= at && l.TermSentAt < 0
	})
}

// writeLogs writes each agent's log.
func (d *deployment) writeLogs(create func(name string) (io.WriteCloser, error)) error {
	for _, a := range d.agents {
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
