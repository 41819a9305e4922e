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
// The goroutine that runs Serve owns all its state. The other methods may be called by any goroutine. Its mailbox keeps the order in which
// requests arrive, which is the order in which the controller sees them, and a request's arrival before its cancellation.
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
func (l *AdmissionLoop) Serve(ctx context.Context) {
	timer := time.NewTimer(idleTimerInterval)
	summaries := time.NewTicker(summaryInterval)
	defer summaries.Stop()
	var messages []admissionMessage
	for {
		timer.Reset(l.untilNextTimer())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.mailbox.Ready():
		case <-summaries.C:
			l.logSummary()
		}
		messages = l.mailbox.Take(messages)
		for _, message := range messages {
			l.handle(message)
		}
		if next := l.controller.NextTimer(); next > 0 && next <= l.clock.Now() {
			l.execute(l.controller.TimerFired(l.clock.Now()))
		}
	}
}

// untilNextTimer returns how long the controller may be left alone while no message comes.
func (l *AdmissionLoop) untilNextTimer() time.Duration {
	next := l.controller.NextTimer()
	if next <= 0 {
		return idleTimerInterval
	}
	return max(0, time.Duration(next-l.clock.Now())*time.Microsecond)
}

func (l *AdmissionLoop) handle(message admissionMessage) {
	now := l.clock.Now()
	switch m := message.(type) {
	case requestArrival:
		l.waiting[m.arrival.ID] = m
		l.execute(l.controller.Arrive(now, m.arrival))
	case attemptSent:
		l.execute(l.controller.AttemptSent(now, m.id))
	case requestFinished:
		delete(l.inProgress, m.id)
		l.execute(l.controller.Finish(now, m.id, m.result))
	case requestCancelled:
		l.cancel(now, m.id)
	case drainStarted:
		l.execute(l.controller.Drain(now, l.clock.At(m.deadline)))
	case weightsUpdate:
		l.controller.SetWeights(m.tenants)
	case summaryRequest:
		l.logSummary()
		close(m.done)
	case statusQuery:
		m.reply <- l.status()
	}
}

// cancel takes a request back. The event loop reports an admitted one as finished when nothing of it is in flight any more.
func (l *AdmissionLoop) cancel(now policy.Micros, id uint64) {
	if l.inProgress[id] {
		l.loop.Enqueue(policy.RequestCancelled{RequestID: id})
		return
	}
	l.remove(id)
	l.execute(l.controller.Abandon(now, id))
}

// execute carries the controller's commands out.
func (l *AdmissionLoop) execute(commands []admission.Command) {
	for _, command := range commands {
		switch command.Kind {
		case admission.Admit:
			l.admit(command.ID)
		case admission.Reject:
			if rejected, ok := l.remove(command.ID); ok {
				rejected.request.Deliver(agent.Reply{Rejected: true, RetryAfter: command.RetryAfter})
			}
		case admission.Coalesce:
			if retry, ok := l.remove(command.ID); ok {
				l.loop.Coalesce(command.LeaderID, retry.request)
			}
		}
	}
}

// admit hands a request to the event loop, which reports back its first attempt and its end.
func (l *AdmissionLoop) admit(id uint64) {
	admitted := l.waiting[id]
	delete(l.waiting, id)
	l.inProgress[id] = true
	request, onDone := admitted.request, admitted.request.OnDone
	request.OnFirstAttempt = func() { l.mailbox.Put(attemptSent{id}) }
	request.OnDone = func() {
		if onDone != nil {
			onDone()
		}
		l.mailbox.Put(requestFinished{id, request.Result()})
	}
	l.loop.Admit(admitted.event, request)
}

// remove takes a request off those that wait, and reports whether it was one of them.
func (l *AdmissionLoop) remove(id uint64) (removed requestArrival, ok bool) {
	removed, ok = l.waiting[id]
	if !ok {
		return removed, false
	}
	delete(l.waiting, id)
	if removed.request.OnDone != nil {
		removed.request.OnDone()
	}
	return removed, true
}

// Status returns the admission loop's status, or an empty one where the context ends first.
func (l *AdmissionLoop) Status(ctx context.Context) (status AdmissionStatus) {
	reply := make(chan AdmissionStatus, 1)
	l.mailbox.Put(statusQuery{reply})
	select {
	case status = <-reply:
	case <-ctx.Done():
	}
	return status
}

// SetWeights puts other weights of the tenants in force.
func (l *AdmissionLoop) SetWeights(tenants []admission.Tenant) {
	l.mailbox.Put(weightsUpdate{tenants})
}

// Close writes the last summary to the log.
func (l *AdmissionLoop) Close(ctx context.Context) {
	done := make(chan struct{})
	l.mailbox.Put(summaryRequest{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
