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
	// summaryInterval is how often a summary of the admission loop is logged if there is anything to report.
	summaryInterval = 10 * time.Second
	// idleTimerInterval is the duration of the admission loop's timer while no timer of the controller is pending.
	idleTimerInterval = time.Hour
)

// AdmissionLoop drives an admission controller. It holds each request until the controller admits the request to the event loop, rejects
// it, or coalesces it. A coalesced request gets the reply of the request that it retries.
//
// The goroutine that runs Serve owns the loop's state. The other exported methods may be called by any goroutine. The mailbox preserves the
// order of messages: the controller sees requests in the order in which they arrive, and the arrival of a request before its cancellation.
type AdmissionLoop struct {
	controller *admission.Controller
	clock      agent.Clock
	loop       *agent.Loop
	mailbox    *mailbox.Mailbox[admissionMessage]
	waiting    map[uint64]requestArrival // by request id; not admitted yet
	inProgress map[uint64]bool           // by request id; admitted and not finished
	coalesced  map[uint64]bool           // by request id; waiting for the reply to another request
	returned   uint64                    // coalesced retries that the event loop has returned
	lastLogged AdmissionStatus
}

// NewAdmissionLoop returns an admission loop that hands admitted requests to an event loop.
func NewAdmissionLoop(controller *admission.Controller, clock agent.Clock, loop *agent.Loop) *AdmissionLoop {
	return &AdmissionLoop{
		controller: controller,
		clock:      clock,
		loop:       loop,
		mailbox:    mailbox.New[admissionMessage](),
		waiting:    map[uint64]requestArrival{},
		inProgress: map[uint64]bool{},
		coalesced:  map[uint64]bool{},
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

// untilNextTimer returns the time until the controller's next timer, or idleTimerInterval if there is none.
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
		l.arrive(now, m)
	case attemptSent:
		l.execute(l.controller.AttemptSent(now, m.id))
	case requestFinished:
		delete(l.inProgress, m.id)
		l.execute(l.controller.Finish(now, m.id, m.result))
	case retryAnswered:
		delete(l.coalesced, m.id)
	case retryReturned:
		l.takeBack(now, m.retry)
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

// arrive asks the controller to admit a request.
func (l *AdmissionLoop) arrive(now policy.Micros, request requestArrival) {
	l.waiting[request.arrival.ID] = request
	l.execute(l.controller.Arrive(now, request.arrival))
}

// cancel cancels a request. An admitted request is cancelled by the event loop, which reports the request as finished once none of its
// attempts is in flight. A coalesced retry is cancelled by the event loop, too, unless the event loop is returning it.
func (l *AdmissionLoop) cancel(now policy.Micros, id uint64) {
	if l.inProgress[id] || l.coalesced[id] {
		delete(l.coalesced, id)
		l.loop.Enqueue(policy.RequestCancelled{RequestID: id})
		return
	}
	l.remove(id)
	l.execute(l.controller.Abandon(now, id))
}

// execute carries out the controller's commands.
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
			l.coalesce(command.LeaderID, command.ID)
		}
	}
}

// admit hands a request to the event loop. The request's callbacks report its first attempt and its end to the mailbox.
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

// coalesce hands a retry to the event loop, which answers it with the reply to its leader or returns it.
func (l *AdmissionLoop) coalesce(leaderID, id uint64) {
	retry := l.waiting[id]
	delete(l.waiting, id)
	l.coalesced[id] = true
	request, onDone := retry.request, retry.request.OnDone
	request.OnDone = func() {
		if onDone != nil {
			onDone()
		}
		l.mailbox.Put(retryAnswered{id})
	}
	l.loop.Coalesce(&agent.JoinedRetry{ID: id, LeaderID: leaderID, Request: request, Return: func() {
		request.OnDone = onDone
		l.mailbox.Put(retryReturned{retry})
	}})
}

// takeBack asks the controller to admit a retry that the event loop has returned, as a request of its own. It ends the retry if its client
// has gone meanwhile.
func (l *AdmissionLoop) takeBack(now policy.Micros, retry requestArrival) {
	if l.coalesced[retry.arrival.ID] {
		delete(l.coalesced, retry.arrival.ID)
		l.returned++
		l.arrive(now, retry)
		return
	}
	if retry.request.OnDone != nil {
		retry.request.OnDone()
	}
}

// remove removes a waiting request, calls its OnDone callback, and reports whether it was waiting.
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

// Status returns the admission loop's status, or the zero value if the context ends first.
func (l *AdmissionLoop) Status(ctx context.Context) (status AdmissionStatus) {
	reply := make(chan AdmissionStatus, 1)
	l.mailbox.Put(statusQuery{reply})
	select {
	case status = <-reply:
	case <-ctx.Done():
	}
	return status
}

// SetWeights changes the weights of the tenants.
func (l *AdmissionLoop) SetWeights(tenants []admission.Tenant) {
	l.mailbox.Put(weightsUpdate{tenants})
}

// Close logs a final summary. It waits until the summary is written or the context ends.
func (l *AdmissionLoop) Close(ctx context.Context) {
	done := make(chan struct{})
	l.mailbox.Put(summaryRequest{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
