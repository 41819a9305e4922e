package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// answerFor is the body of the answer that a server makes for a request.
func answerFor(id string) string {
	return fmt.Sprintf(`{"id":%q,"entry":"beam 42.7 GeV, run 1180 closed","balance":10350}`, id)
}

// spoilOneIn says how many answers there are to one that arrives spoilt.
const spoilOneIn = 20

// caseCut: some answers arrive with a Content-Length that is less than the body.
func caseCut(l *lab) verdict {
	var hosts []entry
	var spoilt atomic.Int64
	form := os.Getenv("SPOIL") // empty: a length that is too short; other forms are for trials
	for i := range 6 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), 20*time.Millisecond)
		e.answer = func(conn net.Conn, id string) error {
			body := answerFor(id)
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", len(body))
			text := body
			if l.trouble && rand.IntN(spoilOneIn) == 0 {
				spoilt.Add(1)
				switch form {
				case "":
					head = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", len(body)-1-rand.IntN(9))
				case "both-raw":
					head += "Transfer-Encoding: chunked\r\n"
				case "both-chunked":
					head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n"
					text = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
				case "both-chunk-short":
					head += "Transfer-Encoding: chunked\r\n"
					text = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body)-5, body)
				}
				l.note("server %s: the answer to %s is spoilt: %q", e.host, id, head)
			}
			_, err := conn.Write([]byte(head + "\r\n" + text))
			return err
		}
		hosts = append(hosts, e.entry("suva"))
	}
	platform := l.newPlatform()
	d := l.newDiscovery("discovery", "127.0.0.1:0", hosts)
	a := l.startAgent(agentConfig(0, freeAddress(), d.address(), platform.address(), hosts, suva(0, 3), 1024), "")
	a.awaitHealthy()
	var result verdict
	var mu sync.Mutex
	var group sync.WaitGroup
	served := 0
	for client := range 10 {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := range 60 {
				id := fmt.Sprintf("c%d-%02d", client, n)
				status, body, whole := l.askWhole(a.listen, id, n%3 == 0)
				mu.Lock()
				if status == 200 && whole {
					served++
					if body != answerFor(id) {
						result.broken = append(result.broken, fmt.Sprintf("%s was answered 200 with %q, whole by its length; the server made %q", id, body, answerFor(id)))
					}
				}
				mu.Unlock()
				time.Sleep(150 * time.Millisecond)
			}
		}()
	}
	group.Wait()
	result.seen = fmt.Sprintf("%d served, %d answers spoilt by a server", served, spoilt.Load())
	return result
}

// askWhole sends a lookup or a posting, and reports whether the answer is whole by its own framing.
func (l *lab) askWhole(address, id string, isPosting bool) (status int, body string, whole bool) {
	raw := fmt.Sprintf("GET /lookup?sid=%016x HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Class: lookup\r\nX-Deadline-Ms: 3000\r\n\r\n", hash(id+salt), id)
	if isPosting {
		raw = fmt.Sprintf("POST /posting?sid=%016x HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Class: posting\r\nX-Deadline-Ms: 3000\r\n"+
			"Idempotency-Key: key-%s\r\nContent-Length: 7\r\n\r\nentry=1", hash(id+salt), id, id)
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		l.note("client: %s not sent: %v", id, err)
		return 0, "", false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err = conn.Write([]byte(raw)); err == nil {
		status, body, err = readAnswer(bufio.NewReader(conn))
	}
	l.note("client: %s answered %d %q, err %v", id, status, body, err)
	return status, body, err == nil
}
