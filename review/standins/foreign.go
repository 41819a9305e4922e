package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playForeign has clients ask for the price of 100 copies of a job and, while that goes on, of 5000 copies. A client whose first question
// takes too long gives it up and repeats it at once, marked as a retry. With the disruption off, no client gives up.
func playForeign(s *stage) error {
	const clients, rounds = 10, 12
	agent, err := s.startHalls()
	if err != nil {
		return err
	}
	defer agent.kill()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	foreign, served := 0, 0
	for c := range clients {
		wg.Go(func() {
			for round := range rounds {
				counts, err := s.askPrices(agent, c*rounds+round)
				mu.Lock()
				foreign += counts.foreign
				served += counts.served
				if err != nil {
					failures = append(failures, err)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	s.record.note("%d of %d requests that were served got the answer to a request for something else", foreign, served)
	switch {
	case foreign > 0:
		return errBroken
	case served == 0:
		return fmt.Errorf("no request was served: %w", errors.Join(failures...))
	}
	return nil
}

// questions counts the questions that were answered with 200, and those of them that got the answer to another.
type questions struct{ served, foreign int }

func (l *questions) add(t try, got reply, err error) {
	if err != nil || got.status != http.StatusOK {
		return
	}
	l.served++
	if got.body != answerTo(t.target) {
		l.foreign++
	}
}

// askPrices plays both questions on one job.
func (s *stage) askPrices(agent *agentProcess, number int) (counts questions, err error) {
	job := fmt.Sprintf("?sid=%016x", 0x51d0000+number)
	few := try{method: http.MethodGet, target: "/price-check" + job + "&copies=100", id: fmt.Sprintf("a%015x", number), deadline: expiry}
	many := try{method: http.MethodGet, target: "/price-check" + job + "&copies=5000", id: fmt.Sprintf("b%015x", number), deadline: expiry}
	start := time.Now()
	fewConn, err := s.send(agent, few)
	if err != nil {
		return counts, err
	}
	type result struct {
		reply
		err error
	}
	other := make(chan result, 1)
	go func() {
		time.Sleep(time.Until(start.Add(pricePatience - 100*time.Millisecond)))
		conn, err := s.send(agent, many)
		if err != nil {
			other <- result{err: err}
			return
		}
		got, err := s.receive(conn, many, time.Now().Add(expiry))
		other <- result{got, err}
	}()
	until := start.Add(expiry)
	if s.trouble {
		until = start.Add(pricePatience)
	}
	got, err := s.receive(fewConn, few, until)
	if err != nil && s.trouble {
		few.id, few.isRetry = fmt.Sprintf("c%015x", number), true
		if fewConn, err = s.send(agent, few); err != nil {
			return counts, err
		}
		got, err = s.receive(fewConn, few, time.Now().Add(expiry))
	}
	counts.add(few, got, err)
	second := <-other
	counts.add(many, second.reply, second.err)
	return counts, nil
}
