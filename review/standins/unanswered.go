package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// answerSlack is by how much an answer may come after its time: half a second, and 50 ms on sockets.
const answerSlack = 550 * time.Millisecond

// playUnanswered has clients look up jobs. A client whose look-up takes too long gives it up, which closes its connection, and repeats it
// at once on another connection that it has open, marked as a retry. It waits for the answer to the repeat until its time is over. With the disruption
// off, no client gives up.
func playUnanswered(s *stage) error {
	const clients, rounds = 16, 40
	agent, err := s.startHalls()
	if err != nil {
		return err
	}
	defer agent.kill()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	lost, awaited := 0, 0
	for c := range clients {
		wg.Go(func() {
			for round := range rounds {
				isAnswered, err := s.lookUpOnce(agent, c*rounds+round)
				mu.Lock()
				switch {
				case err != nil:
					failures = append(failures, err)
				case !isAnswered:
					lost++
					awaited++
				default:
					awaited++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	s.record.note("%d of %d requests whose clients waited until their time was over got no final answer from a running agent", lost, awaited)
	switch {
	case lost > 0:
		return errBroken
	case awaited == 0:
		return fmt.Errorf("no answer was awaited: %w", errors.Join(failures...))
	}
	return nil
}

// lookUpOnce looks a job up, and reports whether the try that the client waited for got a final answer.
func (s *stage) lookUpOnce(agent *agentProcess, number int) (isAnswered bool, err error) {
	t := try{
		method: http.MethodGet, target: fmt.Sprintf("/job-status?sid=%016x", 0x77000+number),
		id: fmt.Sprintf("d%015x", number), deadline: expiry,
	}
	spare, err := net.Dial("tcp", agent.address)
	if err != nil {
		return false, err
	}
	defer func() { _ = spare.Close() }()
	conn, err := s.send(agent, t)
	if err != nil {
		return false, err
	}
	wait := expiry + answerSlack
	if s.trouble {
		wait = statusPatience
	}
	if _, err = s.receive(conn, t, time.Now().Add(wait)); err == nil || !s.trouble {
		return err == nil, nil
	}
	t.id, t.isRetry = fmt.Sprintf("e%015x", number), true
	if err = s.sendOn(spare, t); err != nil {
		return false, err
	}
	_, err = s.receive(spare, t, time.Now().Add(expiry+answerSlack))
	return err == nil, nil
}
