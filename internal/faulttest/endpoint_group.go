package faulttest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// startedLongAgo is the start time of an endpoint that has its full speed from the beginning of the run.
const startedLongAgo netfault.Micros = -1

// endpointSeedSpacing is the factor by which the scenario's seed is multiplied in the seeds of the endpoints' random sources. Each endpoint
// has its own source.
const endpointSeedSpacing = 31

// endpointGroup manages the fake endpoints of a run, which are numbered in the order of their start.
type endpointGroup struct {
	scenario  *Scenario
	now       netfault.Clock
	relays    *relayNetwork
	discovery *fakeDiscovery
	recorder  *endpointRecorder

	mu     sync.Mutex
	all    []*fakes.Endpoint
	starts []netfault.Micros // start time of each endpoint; startedLongAgo: long before the run
}

const endpointNamePrefix = "s-"

func endpointName(endpoint int) string { return fmt.Sprintf("%s%d", endpointNamePrefix, endpoint) }

// add starts endpoints of a build and lists them in discovery. They begin with a slow start, or have their full speed if warmsUp is false.
func (g *endpointGroup) add(ctx context.Context, count, build int, warmsUp bool) error {
	var rows []EndpointRow
	for range count {
		row, err := g.addOne(ctx, build, warmsUp)
		if err != nil {
			return fmt.Errorf("adding an endpoint of build %d: %w", build, err)
		}
		rows = append(rows, row)
	}
	g.discovery.update(func(old []EndpointRow) []EndpointRow { return append(old, rows...) })
	return nil
}

func (g *endpointGroup) addOne(ctx context.Context, build int, warmsUp bool) (row EndpointRow, err error) {
	listener, err := listen(ctx)
	if err != nil {
		return row, err
	}
	number := len(g.snapshot())
	s := g.scenario
	endpoint := fakes.NewEndpointAt(listener, fakes.EndpointOptions{
		Name: endpointName(number), Build: build, Slots: s.Endpoints.Slots, ServiceTime: s.Endpoints.ServiceTime, Seed: s.Seed*endpointSeedSpacing + int64(number),
		Observer: g.recorder, ConnContext: connContext,
	})
	if err := g.relays.addEndpoint(ctx, listener, number); err != nil {
		endpoint.Close()
		return row, err
	}
	row = EndpointRow{Endpoint: number, Health: healthActive, Build: build}
	started := startedLongAgo
	if warmsUp {
		endpoint.SetSlowStart(fakes.InitialCapacity, fakes.SlowStartDuration)
		row.StartedAtMS, started = time.Now().UnixMilli(), g.now()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all = append(g.all, endpoint)
	g.starts = append(g.starts, started)
	return row, nil
}

func (g *endpointGroup) snapshot() []*fakes.Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.all)
}

func (g *endpointGroup) snapshotStarts() []netfault.Micros {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.starts)
}

// numbers returns the numbers of the endpoints in a set.
func (g *endpointGroup) numbers(set EndpointSet) (out []int) {
	for i, endpoint := range g.snapshot() {
		if set.contains(i, endpoint.Build) {
			out = append(out, i)
		}
	}
	return out
}

// selected returns the endpoints in a set.
func (g *endpointGroup) selected(set EndpointSet) (out []*fakes.Endpoint) {
	for i, endpoint := range g.snapshot() {
		if set.contains(i, endpoint.Build) {
			out = append(out, endpoint)
		}
	}
	return out
}

// setHealth changes the health that discovery lists for the endpoints in a set.
func (g *endpointGroup) setHealth(set EndpointSet, health string) {
	numbers := g.numbers(set)
	g.discovery.update(func(rows []EndpointRow) []EndpointRow {
		for i := range rows {
			if slices.Contains(numbers, rows[i].Endpoint) {
				rows[i].Health = health
			}
		}
		return rows
	})
}

func (g *endpointGroup) close() {
	for _, endpoint := range g.snapshot() {
		endpoint.Close()
	}
}
