package fakes

import (
	"fmt"
	"net/url"
	"strings"
	"sync"
	"time"
)

// keepAliveInterval between the signs of life on a deployment's streams.
const keepAliveInterval = time.Second

// Deployment is all that an agent meets but clients: endpoints, discovery and the rollout controller.
type Deployment struct {
	Discovery, Rollout        *StreamServer
	Tenants                   []string
	Shares                    []float64
	LatencyObjective, Timeout time.Duration

	mu            sync.Mutex
	endpoints     []*Endpoint
	listSequence  int
	votes         map[string]int // by verdict, since the last rollout update
	rolloutUpdate string
}

// NewDeployment starts discovery and the rollout controller, with a build that has long been released.
func NewDeployment(tenants []string, shares []float64, objective, timeout time.Duration) (*Deployment, error) {
	d := &Deployment{
		Tenants: tenants, Shares: shares, LatencyObjective: objective, Timeout: timeout,
		listSequence: 1, votes: map[string]int{},
	}
	discoveryListener, err := Listen()
	if err != nil {
		return nil, err
	}
	rolloutListener, err := Listen()
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

// answerRollout begins a stream with the last update. A vote is counted and answered with an error: it takes no effect by itself.
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

// Add starts endpoints and publishes the list with them.
func (d *Deployment) Add(count, build, slots int, work time.Duration, seed int64) ([]*Endpoint, error) {
	var added []*Endpoint
	for i := range count {
		endpoint, err := NewEndpoint(fmt.Sprintf("s-%d-%d", build, i), build, slots, work, seed+int64(i))
		if err != nil {
			return added, err
		}
		added = append(added, endpoint)
	}
	d.mu.Lock()
	d.endpoints = append(d.endpoints, added...)
	d.listSequence++
	document := d.listDocument()
	d.mu.Unlock()
	d.Discovery.Write(document)
	return added, nil
}

// UpdateRollout publishes where the newest build stands, and forgets the votes on what was before.
func (d *Deployment) UpdateRollout(build, stage int, phase string, trafficCap float64) {
	update := RolloutEvent(build, stage, phase, trafficCap)
	d.mu.Lock()
	d.rolloutUpdate = update
	d.votes = map[string]int{}
	d.mu.Unlock()
	d.Rollout.Write(update)
}

// Votes returns the number of votes with a verdict since the last rollout update.
func (d *Deployment) Votes(verdict string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.votes[verdict]
}

// Endpoints returns all that were added.
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

// config returns the configuration file of the deployment's only agent.
func (d *Deployment) config(listen string, build, memoryMB int) string {
	config := AgentConfig{
		Agents: 1, Listen: listen, Discovery: d.Discovery.Addr(), Rollout: d.Rollout.Addr(), Build: build, MemoryMB: memoryMB,
		Tenants: d.Tenants, Shares: d.Shares, LatencyObjective: d.LatencyObjective, Timeout: d.Timeout,
	}
	d.mu.Lock()
	config.Endpoints = d.listDocument()
	d.mu.Unlock()
	return config.File()
}
