package proxy

import (
	"context"
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/agent"
	"switchfork/internal/mailbox"
	"switchfork/internal/policy"
)

const (
	// summaryInterval is how often the log gets a summary of the admission loop, while there is anything to report.
	summaryInterval = 10 * time.Second
	// idleTimerInterval is what the admission loop's timer is set to while the controller has set none.
	idleTimerInterval = time.Hour
)

// AdmissionLoop drives an admission controller: it holds requests back until the controller admits them to the event loop, rejects
// them, or has them answered with the reply of the request that they repeat.
//
// The goroutine that runs Serve owns all its state. The other methods may be called by any goroutine.
type AdmissionLoop struct {
	controller *admission.Controller
	clock      agent.Clock
	loop       *agent.Loop
	mailbox    *mailbox.Mailbox[admissionMessage]
	waiting    map[uint64]requestArrival // not admitted yet
	inProgress map[uint64]bool           // admitted and not finished
	lastLogged AdmissionStatus
}

// NewAdmissionLoop makes an admission loop in front of an event loop.
func NewAdmissionLoop(controller *admission.Controller, clock agent.Clock, loop *agent.Loop) *AdmissionLoop {
	return &AdmissionLoop{
		controller: controller,
		clock:      clock,
		loop:       loop,
		mailbox:    mailbox.New[admissionMessage](),
		waiting:    map[uint64]requestArrival{},
		inProgress: map[uint64]bool{},
	}
}

// Serve handles messages and timers until the context ends.
func (g *AdmissionLoop) Serve(ctx context.Context) {
	timer := time.NewTimer(idleTimerInterval)
	summaries := time.NewTicker(summaryInterval)
	defer summaries.Stop()
	var messages []admissionMessage
	for {
		timer.Reset(g.untilNextTimer())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.mailbox.Ready():
		case <-summaries.C:
			g.logSummary()
		}
		messages = g.mailbox.Take(messages)
		for _, message := range messages {
			g.handle(message)
		}
		if next := g.controller.NextTimer(); next > 0 && next <= g.clock.Now() {
			g.execute(g.controller.TimerFired(g.clock.Now()))
		}
	}
}

// untilNextTimer returns how long the controller may be left alone while no message comes.
func (g *AdmissionLoop) untilNextTimer() time.Duration {
	next := g.controller.NextTimer()
	if next <= 0 {
		return idleTimerInterval
	}
	return max(0, time.Duration(next-g.clock.Now())*time.Microsecond)
}

func (g *AdmissionLoop) handle(message admissionMessage) {
	now := g.clock.Now()
	switch m := message.(type) {
	case requestArrival:
		g.waiting[m.arrival.ID] = m
		g.execute(g.controller.Arrive(now, m.arrival))
	case attemptSent:
		g.execute(g.controller.AttemptSent(now, m.id))
	case requestFinished:
		delete(g.inProgress, m.id)
		g.execute(g.controller.Finish(now, m.id, m.result))
	case requestCancelled:
		g.cancel(now, m.id)
	case drainStarted:
		g.execute(g.controller.Drain(now, g.clock.At(m.deadline)))
	case weightsUpdate:
		g.controller.SetWeights(m.tenants)
	case summaryRequest:
		g.logSummary()
		close(m.done)
	case statusQuery:
		m.reply <- g.status()
	}
}

// cancel takes a request back. The event loop reports an admitted one as finished when nothing of it is in flight any more.
func (g *AdmissionLoop) cancel(now policy.Micros, id uint64) {
	if g.inProgress[id] {
		g.loop.Enqueue(policy.RequestCancelled{RequestID: id})
		return
	}
	g.remove(id)
	g.execute(g.controller.Abandon(now, id))
}

// execute carries the controller's commands out.
func (g *AdmissionLoop) execute(commands []admission.Command) {
	for _, command := range commands {
		switch command.Kind {
		case admission.Admit:
			g.admit(command.ID)
		case admission.Reject:
			if rejected, ok := g.remove(command.ID); ok {
				rejected.request.Deliver(agent.Reply{Rejected: true, RetryAfter: command.RetryAfter})
			}
		case admission.Coalesce:
			if retry, ok := g.remove(command.ID); ok {
				g.loop.Coalesce(command.LeaderID, retry.request)
			}
		}
	}
}

// admit hands a request to the event loop, which reports back its first attempt and its end.
func (g *AdmissionLoop) admit(id uint64) {
	admitted := g.waiting[id]
	delete(g.waiting, id)
	g.inProgress[id] = true
	request, onDone := admitted.request, admitted.request.OnDone
	request.OnFirstAttempt = func() { g.mailbox.Put(attemptSent{id}) }
	request.OnDone = func() {
		if onDone != nil {
			onDone()
		}
		g.mailbox.Put(requestFinished{id, request.Result()})
	}
	g.loop.Admit(admitted.event, request)
}

// remove takes a request off those that wait, and reports whether it was one of them.
func (g *AdmissionLoop) remove(id uint64) (removed requestArrival, ok bool) {
	removed, ok = g.waiting[id]
	if !ok {
		return removed, false
	}
	delete(g.waiting, id)
	if removed.request.OnDone != nil {
		removed.request.OnDone()
	}
	return removed, true
}

// Status returns the admission loop's status, or an empty one where the context ends first.
func (g *AdmissionLoop) Status(ctx context.Context) (status AdmissionStatus) {
	reply := make(chan AdmissionStatus, 1)
	g.mailbox.Put(statusQuery{reply})
	select {
	case status = <-reply:
	case <-ctx.Done():
	}
	return status
}

// SetWeights puts other weights of the tenants in force.
func (g *AdmissionLoop) SetWeights(tenants []admission.Tenant) {
	g.mailbox.Put(weightsUpdate{tenants})
}

// Close writes the last summary to the log.
func (g *AdmissionLoop) Close(ctx context.Context) {
	done := make(chan struct{})
	g.mailbox.Put(summaryRequest{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
