package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

func allCases() map[string]func(*lab) verdict {
	return map[string]func(*lab) verdict{
		"ask":   caseAsk,
		"cut":   caseCut,
		"short": caseShort,
		"gone":  caseGone,
		"door":  caseDoor,
	}
}

// flow sends requests at a steady rate to an agent, on connections of their own, until stop is closed.
func (l *lab) flow(a *agent, prefix, class string, every, patience time.Duration, stop <-chan struct{}, group *sync.WaitGroup) {
	group.Add(1)
	go func() {
		defer group.Done()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			group.Add(1)
			go func() {
				defer group.Done()
				id := fmt.Sprintf("%s-%s-%05d", prefix, a.name, n)
				l.ask(a.listen, id, class, patience)
			}()
		}
	}()
}

// ask sends one GET and notes its answer.
func (l *lab) ask(address, id, class string, patience time.Duration) (status int) {
	return l.askNoting(address, id, class, patience, func(time.Time) {})
}

// askNoting also passes on when the request's last byte has been written.
func (l *lab) askNoting(address, id, class string, patience time.Duration, written func(time.Time)) (status int) {
	raw := fmt.Sprintf("GET /%s?sid=%016x HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline-Ms: %d\r\n\r\n",
		class, hash(id+salt), id, class, tenantOf(id), patience.Milliseconds())
	sent := time.Now()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		l.noteAt(sent, "client: %s not sent: %v", id, err)
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(sent.Add(patience + time.Second))
	if _, err = conn.Write([]byte(raw)); err == nil {
		written(time.Now())
		status, _, err = readAnswer(bufio.NewReader(conn))
	}
	l.noteAt(sent, "client: %s sent, answer %d after %d ms, err %v", id, status, time.Since(sent).Milliseconds(), err)
	return status
}

// tenantOf names the tenant of a request by the beginning of its id.
func tenantOf(id string) string {
	if strings.HasPrefix(id, "reef") {
		return "reef-calor"
	}
	return "koro-array"
}

// salt makes the keys of each run new.
var salt = fmt.Sprint(rand.Uint64())

func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(s) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h ^ h>>29
}

const (
	toldAtTheLatest = 6 * time.Second
	labasaGrace     = 500 * time.Millisecond
	socketSlack     = 50 * time.Millisecond
	refusals        = 2
	agentsAsk       = 5
)

// caseAsk: the list has to be asked for; the watches end, discovery turns two calls of each agent away, and is reachable from then on.
func caseAsk(l *lab) verdict {
	var hosts []entry
	servers := map[string]*endpoint{}
	for i := range 6 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), 20*time.Millisecond)
		servers[e.host] = e
		hosts = append(hosts, e.entry([]string{"hall-a", "hall-b", "hall-c"}[i%3]))
	}
	platform := l.newPlatform()
	var agents []*agent
	var lists []*discovery
	for i := range agentsAsk {
		d := l.newDiscovery(fmt.Sprintf("discovery of n%d", i), "127.0.0.1:0", hosts)
		settings := labasa(i, agentsAsk)
		settings["Zone"] = i % 3
		agents = append(agents, l.startAgent(agentConfig(i, freeAddress(), d.address(), platform.address(), hosts, settings, 1024), ""))
		lists = append(lists, d)
	}
	for _, a := range agents {
		a.awaitHealthy()
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, a := range agents {
		l.flow(a, fmt.Sprintf("q%d", i), "run-lookup", 40*time.Millisecond, 2*time.Second, stop, &group)
	}
	time.Sleep(3 * time.Second)
	var result verdict
	draining := []string{"s-0", "s-1"}
	for _, host := range draining {
		l.playRefusals(host, lists)
		result.broken = append(result.broken, l.afterCutoff(servers[host], agents, lists)...)
	}
	close(stop)
	group.Wait()
	for _, a := range agents {
		a.copyLog("list", "watch")
	}
	result.seen = fmt.Sprintf("first bytes at %v against 6 s + 0.5 s + 0.05 s after each agent could reach discovery again", draining)
	return result
}

// reachable holds, for one discovery address, when it has begun to answer again.
var reachable = map[*discovery]time.Time{}

// playRefusals lets a host drain while the watches end and, with trouble, the next calls of each agent are turned away.
func (l *lab) playRefusals(host string, lists []*discovery) {
	var mu sync.Mutex
	for _, d := range lists {
		refused := 0
		d.mu.Lock()
		mu.Lock()
		delete(reachable, d)
		mu.Unlock()
		d.onCall = func(string, int) int {
			mu.Lock()
			defer mu.Unlock()
			if l.trouble && refused < refusals {
				refused++
				if refused == refusals {
					reachable[d] = time.Now()
				}
				return 503
			}
			return 0
		}
		d.mu.Unlock()
	}
	for _, d := range lists {
		if l.trouble {
			d.endWatches()
		}
		version := d.set(host, "leaving")
		if !l.trouble {
			mu.Lock()
			reachable[d] = time.Now()
			mu.Unlock()
		}
		l.note("%s: %s drains in version %d", d.name, host, version)
	}
	length := 21 * time.Second
	if !l.trouble {
		length = 9 * time.Second
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		for _, d := range lists {
			mu.Lock()
			since, ok := reachable[d]
			mu.Unlock()
			if ok {
				// An outsider's call shows that discovery can be reached at this address, and has the change.
				status, body, err := call(d.address(), "GET /catalog/members?outsider=1 HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n", time.Second)
				l.note("outsider asks %s, reachable for %.1f s: answer %d of %d bytes, err %v", d.name, time.Since(since).Seconds(), status, len(body), err)
			}
		}
	}
}

// afterCutoff returns the attempts at a host that begin after the cut-off of the agent that sent them.
func (l *lab) afterCutoff(server *endpoint, agents []*agent, lists []*discovery) (broken []string) {
	for i, a := range agents {
		since, ok := reachable[lists[i]]
		if !ok {
			l.note("%s has made no second call", a.name)
			continue
		}
		cutoff := since.Add(toldAtTheLatest + labasaGrace + socketSlack)
		count := 0
		var last time.Time
		for _, came := range server.seen() {
			var prefix = fmt.Sprintf("q%d-%s-", i, a.name)
			if len(came.id) > len(prefix) && came.id[:len(prefix)] == prefix && came.begun.After(cutoff) {
				count++
				last = came.begun
			}
		}
		if count > 0 {
			broken = append(broken, fmt.Sprintf("%s sent %d new requests to %s, which drains, up to %.2f s after discovery could be reached (allowed: 6.55 s)",
				a.name, count, server.host, last.Sub(since).Seconds()))
		}
	}
	return broken
}
