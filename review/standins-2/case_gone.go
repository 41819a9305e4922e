package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// caseGone: clients by hundreds connect and say nothing; usual clients send a request and leave soon.
func caseGone(l *lab) verdict {
	var hosts []entry
	var servers []*endpoint
	for i := range 4 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), 20*time.Millisecond)
		servers = append(servers, e)
		hosts = append(hosts, e.entry("suva"))
	}
	platform := l.newPlatform()
	d := l.newDiscovery("discovery", "127.0.0.1:0", hosts)
	a := l.startAgent(agentConfig(0, freeAddress(), d.address(), platform.address(), hosts, suva(0, 1), 256), "")
	a.awaitHealthy()
	var group sync.WaitGroup
	stop := make(chan struct{})
	// Usual clients that wait for their answers keep the connections to the servers in use.
	l.flow(a, "stay", "lookup", 100*time.Millisecond, 3*time.Second, stop, &group)
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	left := map[string]time.Time{}
	for round := range 6 {
		var silent []net.Conn
		if l.trouble {
			for range 200 {
				if conn, err := net.DialTimeout("tcp", a.listen, time.Second); err == nil {
					silent = append(silent, conn)
				}
			}
			l.note("round %d: %d clients have connected and say nothing", round, len(silent))
		}
		for n := range 10 {
			group.Add(1)
			go func() {
				defer group.Done()
				id := fmt.Sprintf("gone-%d-%02d", round, n)
				conn, err := net.DialTimeout("tcp", a.listen, time.Second)
				if err != nil {
					l.note("client: %s not sent: %v", id, err)
					return
				}
				body := "entry=" + id
				fmt.Fprintf(conn, "POST /posting?sid=%016x HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Class: posting\r\nX-Deadline-Ms: 3000\r\n"+
					"Idempotency-Key: key-%s\r\nContent-Length: %d\r\n\r\n%s", hash(id), id, id, len(body), body)
				sent := time.Now()
				time.Sleep(40 * time.Millisecond)
				conn.Close()
				mu.Lock()
				left[id] = time.Now()
				mu.Unlock()
				l.noteAt(sent, "client: %s sent, leaves after %d ms", id, time.Since(sent).Milliseconds())
			}()
		}
		time.Sleep(2500 * time.Millisecond)
		for _, conn := range silent {
			conn.Close()
		}
		time.Sleep(300 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	var result verdict
	for _, server := range servers {
		for _, came := range server.seen() {
			at, ok := left[came.id]
			if late := came.begun.Sub(at); ok && late > 100*time.Millisecond {
				result.broken = append(result.broken, fmt.Sprintf("%s begins at %s %d ms after its client has closed", came.id, server.host, late.Milliseconds()))
			}
		}
	}
	a.copyLog("descriptor", "activity")
	result.seen = fmt.Sprintf("%d clients left, attempts that begin over 0.1 s after the close", len(left))
	return result
}
