package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	toldAfterHangup = 4 * time.Second
	suvaGrace       = time.Second
)

// caseMoved: a new configuration moves discovery, and the answer to the first call at the new address gets lost.
func caseMoved(l *lab) verdict {
	var hosts []entry
	servers := map[string]*endpoint{}
	for i := range 4 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), 20*time.Millisecond)
		servers[e.host] = e
		hosts = append(hosts, e.entry("suva"))
	}
	platform := l.newPlatform()
	old := l.newDiscovery("old discovery", "127.0.0.1:0", hosts)
	moved := l.newDiscovery("new discovery", "127.0.0.1:0", hosts)
	if l.trouble {
		moved.onCall = func(_ string, number int) int {
			if number == 1 {
				return -1 // the answer to this one call gets lost
			}
			return 0
		}
	}
	config := agentConfig(0, freeAddress(), old.address(), platform.address(), hosts, suva(0, 1), 1024)
	a := l.startAgent(config, "")
	a.awaitHealthy()
	stop := make(chan struct{})
	var group sync.WaitGroup
	l.flow(a, "q", "lookup", 30*time.Millisecond, 2*time.Second, stop, &group)
	time.Sleep(3 * time.Second)
	// The drain is known to discovery when the new configuration comes; the old address has not told it yet.
	l.note("s-0 drains in version %d of the new address", moved.set("s-0", "leaving"))
	config["discovery"] = moved.address()
	a.configure(config)
	hangup := time.Now()
	a.signal(syscall.SIGHUP)
	old.refuse()
	time.Sleep(1500 * time.Millisecond)
	old.endWatches()
	l.note("the old address ends its open watches")
	for time.Since(hangup) < 9*time.Second {
		time.Sleep(time.Second)
		status, body, err := call(moved.address(), "GET /catalog/members?outsider=1 HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n", time.Second)
		l.note("an outsider asks the new address: answer %d of %d bytes, err %v", status, len(body), err)
	}
	close(stop)
	group.Wait()
	a.copyLog("discovery", "list")
	var result verdict
	cutoff := hangup.Add(toldAfterHangup + suvaGrace + socketSlack)
	late, last := 0, time.Time{}
	for _, came := range servers["s-0"].seen() {
		if came.begun.After(cutoff) {
			late++
			last = came.begun
		}
	}
	if late > 0 {
		result.broken = append(result.broken, fmt.Sprintf("%d new requests to s-0, which drains, up to %.2f s after SIGHUP (allowed: 5.05 s)", late, last.Sub(hangup).Seconds()))
	}
	result.seen = "first bytes at s-0 against 4 s + 1 s + 0.05 s after SIGHUP"
	return result
}
