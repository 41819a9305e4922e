package proxy

import (
	"context"
	"log/slog"
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/agent"
	"switchfork/internal/mailbox"
	"switchfork/internal/policy"
)

// What the others put into the gate's mailbox.
type (
	requestArrival struct {
		admission.Arrival
		taken policy.RequestArrived
		*agent.Request
	}
	attemptSent     struct{ id uint64 } // the module has sent it
	requestFinished struct {
		id     uint64
		result admission.Result
	}
	requestCancelled struct{ id uint64 } // its client has gone
	drainStarted     struct{ deadline time.Time }
	weightsUpdate    struct{ tenants []admission.Tenant }
	statusQuery      struct{ reply chan AdmissionStatus }
	summaryRequest   struct{ done chan struct{} } // writes the last line of figures
)

// AdmissionStatus is what the door has in hand and has done.
type AdmissionStatus struct {
	admission.Status
	admission.Counters
}

// AdmissionGate is the door's actor.
type AdmissionGate struct {
	controller *admission.Controller
	clock      agent.Clock
	loop       *agent.Loop
	mailbox    *mailbox.Mailbox[any]
	waiting    map[uint64]requestArrival // at the door, not in
	inProgress map[uint64]bool
	lastLogged AdmissionStatus // what the log has had
}

// NewAdmissionGate puts a door before the core.
func NewAdmissionGate(d *admission.Controller, clock agent.Clock, core *agent.Loop) *AdmissionGate {
	return &AdmissionGate{controller: d, clock: clock, loop: core, mailbox: mailbox.New[any](), waiting: map[uint64]requestArrival{}, inProgress: map[uint64]bool{}}
}

// summaryInterval is how often the log gets the door's figures, while anything happens there.
const summaryInterval = 10 * time.Second

// Serve empties the mailbox until the end.
func (g *AdmissionGate) Serve(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	figures := time.NewTicker(summaryInterval)
	defer figures.Stop()
	var notes []any
	for {
		wait := time.Hour
		if next := g.controller.NextTimer(); next > 0 {
			wait = time.Duration(next-g.clock.Now()) * time.Microsecond
		}
		timer.Reset(max(0, wait))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.mailbox.Ready():
		case <-figures.C:
			g.logSummary()
		}
		notes = g.mailbox.Take(notes)
		for _, n := range notes {
			g.handle(n)
		}
		if next := g.controller.NextTimer(); next > 0 && next <= g.clock.Now() {
			g.execute(g.controller.TimerFired(g.clock.Now()))
		}
	}
}

func (g *AdmissionGate) handle(n any) {
	now := g.clock.Now()
	switch n := n.(type) {
	case requestArrival:
		g.waiting[n.ID] = n
		g.execute(g.controller.Arrive(now, n.Arrival))
	case attemptSent:
		g.execute(g.controller.AttemptSent(now, n.id))
	case requestFinished:
		delete(g.inProgress, n.id)
		g.execute(g.controller.Finish(now, n.id, n.result))
	case requestCancelled:
		if g.inProgress[n.id] { // the core tells when nothing of it is out any more
			g.loop.Post(policy.RequestCancelled{RequestID: n.id})
			return
		}
		g.forget(n.id)
		g.execute(g.controller.Abandon(now, n.id))
	case drainStarted:
		g.execute(g.controller.Drain(now, g.clock.At(n.deadline)))
	case weightsUpdate:
		g.controller.SetWeights(n.tenants)
	case summaryRequest:
		g.logSummary()
		close(n.done)
	case statusQuery:
		n.reply <- AdmissionStatus{g.controller.Status(), g.controller.Counters}
	}
}

func (g *AdmissionGate) forget(id uint64) (k requestArrival, was bool) {
	if k, was = g.waiting[id]; was {
		delete(g.waiting, id)
		if k.OnDone != nil {
			k.OnDone()
		}
	}
	return k, was
}

func (g *AdmissionGate) execute(orders []admission.Command) {
	for _, o := range orders {
		switch o.Kind {
		case admission.Admit:
			k := g.waiting[o.ID]
			delete(g.waiting, o.ID)
			g.inProgress[o.ID] = true
			id, free := o.ID, k.OnDone
			k.OnFirstAttempt = func() { g.mailbox.Put(attemptSent{id}) }
			k.OnDone = func() {
				if free != nil {
					free()
				}
				g.mailbox.Put(requestFinished{id, k.Request.Result()})
			}
			g.loop.Admit(k.taken, k.Request)
		case admission.Reject:
			if k, was := g.forget(o.ID); was {
				k.Deliver(agent.Reply{Rejected: true, RetryAfter: o.RetryAfter})
			}
		case admission.Coalesce:
			if k, was := g.forget(o.ID); was {
				g.loop.Coalesce(o.LeaderID, k.Request)
			}
		}
	}
}

// logSummary writes a line of figures where anything has happened since the last.
func (g *AdmissionGate) logSummary() {
	now := AdmissionStatus{g.controller.Status(), g.controller.Counters}
	if now.Arrived != g.lastLogged.Arrived || now.Waiting > 0 {
		writeSummary(now, g.lastLogged)
	}
	g.lastLogged = now
}

// Close writes the last figures.
func (g *AdmissionGate) Close(ctx context.Context) {
	done := make(chan struct{})
	g.mailbox.Put(summaryRequest{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Status asks for what is in hand.
func (g *AdmissionGate) Status(ctx context.Context) (s AdmissionStatus) {
	answer := make(chan AdmissionStatus, 1)
	g.mailbox.Put(statusQuery{answer})
	select {
	case s = <-answer:
	case <-ctx.Done():
	}
	return s
}

// SetWeights puts other weights in force.
func (g *AdmissionGate) SetWeights(shares []admission.Tenant) { g.mailbox.Put(weightsUpdate{shares}) }

// writeSummary writes the door's figures: levels as they are, counts since the last line.
func writeSummary(now, last AdmissionStatus) {
	slog.Info("door", "in", now.InProgress, "limit", int(now.Limit), "waiting", now.Waiting, "kib", now.Bytes>>10,
		"arrived", now.Arrived-last.Arrived, "admitted", now.Admitted-last.Admitted, "joined", now.Rejoined-last.Rejoined,
		"toolate", now.Rejected[admission.TooLate]-last.Rejected[admission.TooLate], "noroom", now.Rejected[admission.NoCapacity]-last.Rejected[admission.NoCapacity],
		"promised", now.Reserved-last.Reserved, "kept", now.ReservationsHonored-last.ReservationsHonored, "broken", now.ReservationsMissed-last.ReservationsMissed,
		"unclaimed", now.ReservationsUnclaimed-last.ReservationsUnclaimed, "settled", now.Finished[admission.Succeeded]-last.Finished[admission.Succeeded],
		"declined", now.Finished[admission.Rejected]-last.Finished[admission.Rejected], "voided", now.Finished[admission.Failed]-last.Finished[admission.Failed])
}
