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
	knock struct {
		admission.Arrival
		taken policy.RequestArrived
		*agent.Request
	}
	found struct{ id uint64 } // the module has sent it
	over  struct {
		id  uint64
		how admission.Result
	}
	left    struct{ id uint64 } // its client has gone
	drain   struct{ until time.Time }
	reshare struct{ shares []admission.Tenant }
	ask     struct{ answer chan AdmissionStatus }
	sum     struct{ done chan struct{} } // writes the last line of figures
)

// AdmissionStatus is what the door has in hand and has done.
type AdmissionStatus struct {
	admission.Status
	admission.Counters
}

// AdmissionGate is the door's actor.
type AdmissionGate struct {
	door  *admission.Controller
	clock agent.Clock
	core  *agent.Loop
	box   *mailbox.Mailbox[any]
	known map[uint64]knock // at the door, not in
	in    map[uint64]bool
	last  AdmissionStatus // what the log has had
}

// NewAdmissionGate puts a door before the core.
func NewAdmissionGate(d *admission.Controller, clock agent.Clock, core *agent.Loop) *AdmissionGate {
	return &AdmissionGate{door: d, clock: clock, core: core, box: mailbox.New[any](), known: map[uint64]knock{}, in: map[uint64]bool{}}
}

// figuresEvery is how often the log gets the door's figures, while anything happens there.
const figuresEvery = 10 * time.Second

// Serve empties the mailbox until the end.
func (g *AdmissionGate) Serve(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	figures := time.NewTicker(figuresEvery)
	defer figures.Stop()
	var notes []any
	for {
		wait := time.Hour
		if next := g.door.NextTimer(); next > 0 {
			wait = time.Duration(next-g.clock.Now()) * time.Microsecond
		}
		timer.Reset(max(0, wait))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.box.Ready():
		case <-figures.C:
			g.log()
		}
		notes = g.box.Take(notes)
		for _, n := range notes {
			g.note(n)
		}
		if next := g.door.NextTimer(); next > 0 && next <= g.clock.Now() {
			g.carryOut(g.door.TimerFired(g.clock.Now()))
		}
	}
}

func (g *AdmissionGate) note(n any) {
	now := g.clock.Now()
	switch n := n.(type) {
	case knock:
		g.known[n.ID] = n
		g.carryOut(g.door.Arrive(now, n.Arrival))
	case found:
		g.carryOut(g.door.AttemptSent(now, n.id))
	case over:
		delete(g.in, n.id)
		g.carryOut(g.door.Finish(now, n.id, n.how))
	case left:
		if g.in[n.id] { // the core tells when nothing of it is out any more
			g.core.Post(policy.RequestCancelled{RequestID: n.id})
			return
		}
		g.forget(n.id)
		g.carryOut(g.door.Abandon(now, n.id))
	case drain:
		g.carryOut(g.door.Drain(now, g.clock.At(n.until)))
	case reshare:
		g.door.SetWeights(n.shares)
	case sum:
		g.log()
		close(n.done)
	case ask:
		n.answer <- AdmissionStatus{g.door.Status(), g.door.Counters}
	}
}

func (g *AdmissionGate) forget(id uint64) (k knock, was bool) {
	if k, was = g.known[id]; was {
		delete(g.known, id)
		if k.OnDone != nil {
			k.OnDone()
		}
	}
	return k, was
}

func (g *AdmissionGate) carryOut(orders []admission.Command) {
	for _, o := range orders {
		switch o.Kind {
		case admission.Admit:
			k := g.known[o.ID]
			delete(g.known, o.ID)
			g.in[o.ID] = true
			id, free := o.ID, k.OnDone
			k.OnFirstAttempt = func() { g.box.Put(found{id}) }
			k.OnDone = func() {
				if free != nil {
					free()
				}
				g.box.Put(over{id, k.Request.Result()})
			}
			g.core.Admit(k.taken, k.Request)
		case admission.Reject:
			if k, was := g.forget(o.ID); was {
				k.Deliver(agent.Reply{Rejected: true, RetryAfter: o.RetryAfter})
			}
		case admission.Coalesce:
			if k, was := g.forget(o.ID); was {
				g.core.Coalesce(o.LeaderID, k.Request)
			}
		}
	}
}

// log writes a line of figures where anything has happened since the last.
func (g *AdmissionGate) log() {
	now := AdmissionStatus{g.door.Status(), g.door.Counters}
	if now.Arrived != g.last.Arrived || now.Waiting > 0 {
		journal(now, g.last)
	}
	g.last = now
}

// Close writes the last figures.
func (g *AdmissionGate) Close(ctx context.Context) {
	done := make(chan struct{})
	g.box.Put(sum{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Status asks for what is in hand.
func (g *AdmissionGate) Status(ctx context.Context) (s AdmissionStatus) {
	answer := make(chan AdmissionStatus, 1)
	g.box.Put(ask{answer})
	select {
	case s = <-answer:
	case <-ctx.Done():
	}
	return s
}

// SetWeights puts other weights in force.
func (g *AdmissionGate) SetWeights(shares []admission.Tenant) { g.box.Put(reshare{shares}) }

// journal writes the door's figures: levels as they are, counts since the last line.
func journal(now, last AdmissionStatus) {
	slog.Info("door", "in", now.InProgress, "limit", int(now.Limit), "waiting", now.Waiting, "kib", now.Bytes>>10,
		"arrived", now.Arrived-last.Arrived, "admitted", now.Admitted-last.Admitted, "joined", now.Rejoined-last.Rejoined,
		"toolate", now.Rejected[admission.TooLate]-last.Rejected[admission.TooLate], "noroom", now.Rejected[admission.NoCapacity]-last.Rejected[admission.NoCapacity],
		"promised", now.Reserved-last.Reserved, "kept", now.ReservationsHonored-last.ReservationsHonored, "broken", now.ReservationsMissed-last.ReservationsMissed,
		"unclaimed", now.ReservationsUnclaimed-last.ReservationsUnclaimed, "settled", now.Finished[admission.Succeeded]-last.Finished[admission.Succeeded],
		"declined", now.Finished[admission.Rejected]-last.Finished[admission.Rejected], "voided", now.Finished[admission.Failed]-last.Finished[admission.Failed])
}
