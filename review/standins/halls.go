package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// hallsOperator is the operator's file of the cases on joined retries.
const hallsOperator = `admission-control on
admission-client address
retry-after on
coalesce-requests on
`

const (
	// usualWork and slowWork are what a request takes at most hosts and at the slow ones.
	usualWork = 250 * time.Millisecond
	slowWork  = 1200 * time.Millisecond
	// hosts and slowHosts are how many hosts there are, and how many of them are slow: at most 23 in 100, 2.1 to 10 times slower.
	hosts     = 10
	slowHosts = 2
	// statusPatience and pricePatience are after how long impatient clients give a try up: 40 in 100 of the SLA time, where the pages say
	// 27 to 58.
	statusPatience = 800 * time.Millisecond
	pricePatience  = 480 * time.Millisecond
	// expiry is how long a client waits for its answer where it does not give up early.
	expiry = 4 * time.Second
)

// startHalls starts a small deployment with slow hosts and an agent that joins retries. Clients mark their repeats.
func (s *stage) startHalls() (*agentProcess, error) {
	var endpoints []*endpoint
	for i := range hosts {
		name, work := fmt.Sprintf("s-%08x", 0x5be20000+i), usualWork
		if i < slowHosts {
			work = slowWork
		}
		e, err := startEndpoint(name, "east", 1, 0, func(got call) answer {
			s.record.add("host %s runs %s, id %s, for %v", name, got.target, got.id, work)
			return answer{status: http.StatusOK, body: answerTo(got.target), after: work}
		})
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
	}
	return s.startAlone(endpoints, hallsOperator, []class{
		{name: "job-status", repeat: "read_like", sloMs: 2000, limitMs: 6000, worth: 1},
		{name: "price-check", repeat: "read_like", sloMs: 1200, limitMs: 5000, worth: 1},
		{name: "book-job", repeat: "non_idempotent", sloMs: 1500, limitMs: 6000, worth: 3},
	})
}

// startLedger starts a small deployment whose hosts behave alike, and an agent without an operator's file.
func (s *stage) startLedger(behave func(call) answer) (*agentProcess, error) {
	var endpoints []*endpoint
	for i := range hosts {
		e, err := startEndpoint(fmt.Sprintf("s-%08x", 0x5be20000+i), "east", 1, 0, behave)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
	}
	return s.startAlone(endpoints, "", []class{
		{name: "lookup", repeat: "read_like", sloMs: 1500, limitMs: 5000, worth: 1},
		{name: "posting", repeat: "idempotency_key", scope: "zone", sloMs: 1500, limitMs: 4000, worth: 5},
	})
}

// startAlone starts discovery, a platform on which nothing happens, and the only agent.
func (s *stage) startAlone(endpoints []*endpoint, operator string, classes []class) (*agentProcess, error) {
	list, err := startDiscovery(endpoints...)
	if err != nil {
		return nil, err
	}
	platform, err := startQuietPlatform(1)
	if err != nil {
		return nil, err
	}
	addresses, err := freeAddresses("tcp", 1)
	if err != nil {
		return nil, err
	}
	d := deployment{agents: 1, voteStandsMs: 6000, marksRetry: true, classes: classes}
	known, _, _ := list.list(0, true)
	news := object{"image": 1, "ring": 3, "progress": "live", "ceiling": 1.0, "lag_ms": 90000}
	return startAgent(s.root, s.folder, d.agentConfig(0, addresses[0], list.address, platform, known, news, nil), operator)
}

// answerTo returns what the hosts answer to a target.
func answerTo(target string) string { return "answer to " + target }

// send opens a connection and writes a try to it.
func (s *stage) send(agent *agentProcess, t try) (net.Conn, error) {
	conn, err := net.Dial("tcp", agent.address)
	if err != nil {
		return nil, err
	}
	return conn, s.sendOn(conn, t)
}

// sendOn writes a try to an open connection.
func (s *stage) sendOn(conn net.Conn, t try) error {
	s.record.add("client sends %s, id %s, retry %v", t.target, t.id, t.isRetry)
	return sendTry(conn, t)
}

// receive waits for the answer to a try, and closes the connection.
func (s *stage) receive(conn net.Conn, t try, until time.Time) (reply, error) {
	got, err := readReply(conn, until)
	s.record.add("client got for %s, id %s: %d %q %v", t.target, t.id, got.status, got.body, err)
	_ = conn.Close()
	return got, err
}
