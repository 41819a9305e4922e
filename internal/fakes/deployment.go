package fakes

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"
	"sync"
	"time"
)

// keepAliveInterval is the interval between keep-alives on a deployment's idle streams.
const keepAliveInterval = time.Second

// Deployment is everything that an agent communicates with, except clients: endpoints, discovery and the rollout controller.
type Deployment struct {
	Discovery        *StreamServer
	Rollout          *StreamServer
	Tenants          []string
	Shares           []float64 // shares of the agent's capacity, in the order of Tenants
	LatencyObjective time.Duration
	Timeout          time.Duration

	mu            sync.Mutex
	endpoints     []*Endpoint
	listSequence  int
	votes         map[string]int // number of votes by verdict since the last rollout update
	rolloutUpdate string
}

// NewDeployment starts discovery and the rollout controller. At first no rollout is in progress: the agent's build was released long ago.
func NewDeployment(tenants []string, shares []float64, objective, timeout time.Duration) (*Deployment, error) {
	d := &Deployment{
		Tenants: tenants, Shares: shares, LatencyObjective: objective, Timeout: timeout,
		listSequence: 1, votes: map[string]int{},
	}
	ctx := context.Background() // listening on loopback does not block
	discoveryListener, err := Listen(ctx)
	if err != nil {
		return nil, err
	}
	rolloutListener, err := Listen(ctx)
	if err != nil {
		_ = discoveryListener.Close() // the first error is the one to report
		return nil, err
	}
	d.Discovery = NewStreamServer(discoveryListener, "\n", keepAliveInterval, d.answerDiscovery)
	d.Rollout = NewStreamServer(rolloutListener, ":\n", keepAliveInterval, d.answerRollout)
	return d, nil
}

func (d *Deployment) answerDiscovery(string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listDocument()
}

// answerRollout answers the call for a stream with the last rollout update. It counts each vote and answers it with an error, because
// votes do not change the rollout of this fake.
func (d *Deployment) answerRollout(request string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	form, isVote := strings.CutPrefix(request, "POST /api/ ")
	if !isVote {
		return d.rolloutUpdate
	}
	values, err := url.ParseQuery(form)
	if err != nil {
		return "400|<Error><Code>ValidationError</Code></Error>"
	}
	d.votes[values.Get("opinion")]++
	return "400|<Error><Code>ConditionFailed</Code></Error>"
}

// listDocument returns the full endpoint list. The caller holds the lock.
func (d *Deployment) listDocument() string {
	var entries []string
	for _, endpoint := range d.endpoints {
		entries = append(entries, endpoint.ListEntry("active"))
	}
	return ListDocument(d.listSequence, true, entries...)
}

// Add starts endpoints with the same options, except for their names and seeds, which are derived from the options. It publishes the
// endpoint list that includes them.
func (d *Deployment) Add(count int, options EndpointOptions) ([]*Endpoint, error) {
	var added []*Endpoint
	for i := range count {
		listener, err := Listen(context.Background())
		if err != nil {
			return added, fmt.Errorf("adding endpoint %d of %d: %w", i+1, count, err)
		}
		endpointOptions := options
		endpointOptions.Name = fmt.Sprintf("s-%d-%d", options.Build, i)
		endpointOptions.Seed = options.Seed + int64(i)
		added = append(added, NewEndpointAt(listener, endpointOptions))
	}
	d.mu.Lock()
	d.endpoints = append(d.endpoints, added...)
	d.listSequence++
	document := d.listDocument()
	d.mu.Unlock()
	d.Discovery.Write(document)
	return added, nil
}

// UpdateRollout publishes the rollout state of the newest build, and discards the votes on the previous state.
func (d *Deployment) UpdateRollout(build, stage int, phase string, trafficCap float64) {
	update := RolloutEvent(build, stage, phase, trafficCap)
	d.mu.Lock()
	d.rolloutUpdate = update
	d.votes = map[string]int{}
	d.mu.Unlock()
	d.Rollout.Write(update)
}

// Votes returns the number of votes with this verdict since the last rollout update.
func (d *Deployment) Votes(verdict string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.votes[verdict]
}

// Endpoints returns all endpoints that were added.
func (d *Deployment) Endpoints() []*Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Endpoint(nil), d.endpoints...)
}

// Close closes all servers.
func (d *Deployment) Close() {
	d.Discovery.Close()
	d.Rollout.Close()
	for _, endpoint := range d.Endpoints() {
		endpoint.Close()
	}
}

// DeploymentAgentOptions describes how the only agent of a deployment is started.
type DeploymentAgentOptions struct {
	Program      string // path of the executable
	Dir          string // folder for the agent's files
	OperatorFile string // text of the agent's operator file; empty: no file
	Build        int    // the released build
	MemoryMB     int
	Log          io.Writer
}

// Start starts the deployment's only agent and waits until it is healthy.
func (d *Deployment) Start(options DeploymentAgentOptions) (*Agent, error) {
	ctx := context.Background() // the start has its own timeout
	listen, err := FreeAddress(ctx)
	if err != nil {
		return nil, err
	}
	return StartReadyAgent(ctx, AgentOptions{
		Program: options.Program, Dir: options.Dir, OperatorFile: options.OperatorFile,
		Config:        d.config(listen, options.Build, options.MemoryMB),
		ListenAddress: listen, Log: options.Log,
	})
}

// config returns the configuration file of the deployment's only agent.
func (d *Deployment) config(listen string, build, memoryMB int) string {
	config := AgentConfig{
		Agents: 1, Build: build, MemoryMB: memoryMB,
		Addresses: AgentAddresses{Listen: listen, Discovery: d.Discovery.Addr(), Rollout: d.Rollout.Addr()},
		Requests:  RequestSettings{LatencyObjective: d.LatencyObjective, Timeout: d.Timeout},
	}
	for i, name := range d.Tenants {
		config.Requests.Tenants = append(config.Requests.Tenants, Tenant{Name: name, Share: d.Shares[i]})
	}
	d.mu.Lock()
	config.Initial.Endpoints = d.listDocument()
	d.mu.Unlock()
	return config.File()
}
