package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// caseShort: some clients send a Content-Length that is less than the body.
func caseShort(l *lab) verdict {
	var hosts []entry
	var servers []*endpoint
	for i := range 6 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), 20*time.Millisecond)
		servers = append(servers, e)
		hosts = append(hosts, e.entry("suva"))
	}
	platform := l.newPlatform()
	d := l.newDiscovery("discovery", "127.0.0.1:0", hosts)
	a := l.startAgent(agentConfig(0, freeAddress(), d.address(), platform.address(), hosts, suva(0, 3), 1024), "")
	a.awaitHealthy()
	stop := make(chan struct{})
	var group sync.WaitGroup
	l.flow(a, "usual", "lookup", 100*time.Millisecond, 3*time.Second, stop, &group)
	var mu sync.Mutex
	var result verdict
	sent := map[string]string{} // the bodies that clients have sent, by id
	served := 0
	var bad sync.WaitGroup
	for client := range 20 {
		bad.Add(1)
		go func() {
			defer bad.Done()
			for n := range 5 {
				time.Sleep(time.Duration(100+rand.IntN(900)) * time.Millisecond)
				id := fmt.Sprintf("post-%02d-%d", client, n)
				body := fmt.Sprintf(`{"entry":%q,"channel":7,"value":10350}`, id)
				length := len(body)
				if l.trouble {
					length -= 2 + rand.IntN(4)
				}
				mu.Lock()
				sent[id] = body
				mu.Unlock()
				status := l.post(a.listen, id, body, length)
				mu.Lock()
				if status == 200 {
					served++
					if length != len(body) {
						result.broken = append(result.broken, fmt.Sprintf("%s says a length of %d, sends %d bytes, and is answered 200 as if it had run", id, length, len(body)))
					}
				}
				mu.Unlock()
			}
		}()
	}
	bad.Wait()
	close(stop)
	group.Wait()
	cut := 0
	for _, server := range servers {
		for _, came := range server.seen() {
			if body, ok := sent[came.id]; ok && came.body != body {
				cut++
				l.noteAt(came.whole, "server %s: ran %s with %q; its client has sent %q", server.host, came.id, came.body, body)
			}
		}
	}
	result.seen = fmt.Sprintf("%d postings, %d of them served, %d run with a body that no client has sent", len(sent), served, cut)
	return result
}

// post sends a posting that says a length for its body, in one write, and returns the first answer's status, or 0 if the agent closes.
func (l *lab) post(address, id, body string, length int) (status int) {
	raw := fmt.Sprintf("POST /posting?sid=%016x HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Class: posting\r\nX-Tenant: reef-calor\r\n"+
		"X-Deadline-Ms: 3000\r\nIdempotency-Key: key-%s\r\nContent-Length: %d\r\n\r\n%s", hash(id+salt), id, id, length, body)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		l.note("client: %s not sent: %v", id, err)
		return 0
	}
	defer conn.Close()
	sent := time.Now()
	_ = conn.SetDeadline(sent.Add(4 * time.Second))
	if _, err = conn.Write([]byte(raw)); err == nil {
		status, _, err = readAnswer(bufio.NewReader(conn))
	}
	l.noteAt(sent, "client: %s sent, length %d, body of %d bytes, answer %d after %d ms, err %v", id, length, len(body), status, time.Since(sent).Milliseconds(), err)
	return status
}
