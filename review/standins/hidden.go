package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playHidden has usual clients look things up, and beside them bad clients, each with a request that has both Content-Length and
// Transfer-Encoding. By its Transfer-Encoding, all that follows is its body, and the text of another request is in it. With the disruption
// off, the bad clients send the same request without Transfer-Encoding and with nothing after its body.
func playHidden(s *stage) error {
	const badClients, usualClients, lookUps = 20, 4, 25
	var mu sync.Mutex
	sent := map[string]bool{}
	var unsent []string
	served := 0
	agent, err := s.startLedger(func(got call) answer {
		mu.Lock()
		defer mu.Unlock()
		if !sent[got.id] {
			unsent = append(unsent, got.id)
		}
		s.record.add("host runs %s %s, id %s, sent by a client: %v", got.method, got.target, got.id, sent[got.id])
		return answer{status: http.StatusOK, body: answerTo(got.target), after: 20 * time.Millisecond}
	})
	if err != nil {
		return err
	}
	defer agent.kill()
	register := func(id string) {
		mu.Lock()
		defer mu.Unlock()
		sent[id] = true
	}
	var wg sync.WaitGroup
	for c := range usualClients {
		wg.Go(func() {
			for round := range lookUps {
				t := try{
					method: http.MethodGet, target: fmt.Sprintf("/lookup?sid=%016x", 0x77000+round),
					id: fmt.Sprintf("f%015x", c*lookUps+round), deadline: expiry,
				}
				register(t.id)
				conn, err := s.send(agent, t)
				if err != nil {
					continue
				}
				if got, err := s.receive(conn, t, time.Now().Add(expiry)); err == nil && got.status == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		})
	}
	for c := range badClients {
		id := fmt.Sprintf("%016x", 0xbad0000+c)
		register(id)
		s.sendBoth(agent, id, fmt.Sprintf("%016x", 0x41d0000+c))
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.record.note("hosts ran %d requests that no client had sent, of %d bad clients", len(unsent), badClients)
	switch {
	case len(unsent) > 0:
		return errBroken
	case served == 0:
		return errors.New("no usual client was served")
	}
	return nil
}

// sendBoth sends one request of a bad client, and records what the agent answers until it closes the connection or 3 s are over.
func (s *stage) sendBoth(agent *agentProcess, id, hiddenID string) {
	conn, err := net.Dial("tcp", agent.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	hidden := "POST /posting?sid=00000000000000ff HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: " + hiddenID +
		"\r\nX-Tenant: crew\r\nX-Deadline-Ms: 2000\r\nIdempotency-Key: 0000000000000000" + hiddenID + "\r\nContent-Length: 0\r\n\r\n"
	chunkSize := fmt.Sprintf("%x\r\n", len(hidden))
	text := "POST /posting?sid=0000000000000001 HTTP/1.0\r\nHost: service.internal\r\nConnection: keep-alive\r\nX-Request-Id: " + id +
		"\r\nX-Tenant: crew\r\nX-Deadline-Ms: 2000\r\nIdempotency-Key: 0000000000000000" + id + "\r\n" + fmt.Sprintf("Content-Length: %d\r\n", len(chunkSize))
	if s.trouble {
		text += "Transfer-Encoding: chunked\r\n\r\n" + chunkSize + hidden + "\r\n0\r\n\r\n"
	} else {
		text += "\r\n" + chunkSize
	}
	s.record.add("bad client sends %q", text)
	_, _ = io.WriteString(conn, text)
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if !s.trouble {
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond)) // the agent may keep the connection open
	}
	got, _ := io.ReadAll(conn)
	s.record.add("bad client got %q", strings.TrimSpace(string(got)))
}
