package fakes

import (
	"fmt"
	"net/url"
	"strings"
	"sync"
	"time"
)

// Deployment is all that an agent meets but clients: appliances, discovery and launcher.
type Deployment struct {
	Discovery, Rollout        *StreamServer
	mu                        sync.Mutex
	all                       []*Endpoint
	seq                       int
	votes                     map[string]int // by verdict, of the newest build
	Tenants                   []string
	Shares                    []float64
	LatencyObjective, Timeout time.Duration
	news                      string
}

// NewDeployment starts discovery and launcher, with a build that has long been released.
func NewDeployment(tenants []string, shares []float64, sla, expiry time.Duration) (*Deployment, error) {
	w := &Deployment{Tenants: tenants, Shares: shares, LatencyObjective: sla, Timeout: expiry, seq: 1, votes: map[string]int{}}
	list, err := Listen()
	if err != nil {
		return nil, err
	}
	desk, err := Listen()
	if err != nil {
		return nil, err
	}
	w.Discovery = NewStreamServer(list, "\n", time.Second, func(asked string) string {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.line()
	})
	w.Rollout = NewStreamServer(desk, ":\n", time.Second, func(asked string) string {
		w.mu.Lock()
		defer w.mu.Unlock()
		if form, is := strings.CutPrefix(asked, "POST /api/ "); is {
			v, err := url.ParseQuery(form)
			if err != nil {
				return "400|<Error><Code>ValidationError</Code></Error>"
			}
			w.votes[v.Get("opinion")]++
			return "400|<Error><Code>ConditionFailed</Code></Error>"
		}
		return w.news
	})
	return w, nil
}

func (w *Deployment) line() string {
	var rows []string
	for _, a := range w.all {
		rows = append(rows, a.ListEntry("active"))
	}
	return ListDocument(w.seq, true, rows...)
}

// Add starts appliances and lists them.
func (w *Deployment) Add(many, build, slots int, work time.Duration, seed int64) ([]*Endpoint, error) {
	var fresh []*Endpoint
	for i := range many {
		a, err := NewEndpoint(fmt.Sprintf("s-%d-%d", build, i), build, slots, work, seed+int64(i))
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
	w.Discovery.Write(text)
	return fresh, nil
}

// UpdateRollout tells where the newest build stands, and forgets the votes on what stood before.
func (w *Deployment) UpdateRollout(build, stage int, progress string, ceiling float64) {
	text := RolloutEvent(build, stage, progress, ceiling)
	w.mu.Lock()
	w.news = text
	w.votes = map[string]int{}
	w.mu.Unlock()
	w.Rollout.Write(text)
}

// Votes counts a verdict since the last news.
func (w *Deployment) Votes(verdict string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.votes[verdict]
}

// Endpoints are all that were added.
func (w *Deployment) Endpoints() []*Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Endpoint(nil), w.all...)
}

// Close ends all parties.
func (w *Deployment) Close() {
	w.Discovery.Close()
	w.Rollout.Close()
	for _, a := range w.Endpoints() {
		a.Close()
	}
}

// config is an agent's file for this world.
func (w *Deployment) config(listen string, build, memoryMB int) string {
	t := AgentConfig{
		Agents: 1, Listen: listen, Discovery: w.Discovery.Addr(), Rollout: w.Rollout.Addr(), Build: build, MemoryMB: memoryMB,
		Tenants: w.Tenants, Shares: w.Shares, LatencyObjective: w.LatencyObjective, Timeout: w.Timeout,
	}
	w.mu.Lock()
	t.Endpoints = w.line()
	w.mu.Unlock()
	return t.File()
}
