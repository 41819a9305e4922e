package fakes

import (
	"fmt"
	"net/url"
	"strings"
	"sync"
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
func (w *World) config(listen string, build, memoryMB int) string {
	t := Told{Agents: 1, Listen: listen, Discovery: w.Discovery.Addr(), Launcher: w.Launcher.Addr(), Build: build, MemoryMB: memoryMB,
		Tenants: w.Tenants, Shares: w.Shares, SLA: w.SLA, Expiry: w.Expiry}
	w.mu.Lock()
	t.Known = w.line()
	w.mu.Unlock()
	return t.File()
}
