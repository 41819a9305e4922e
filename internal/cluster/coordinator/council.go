// Package coordinator runs an agent's decider: it hands it what the module wishes, what the launcher tells and what other agents
// say, and carries its orders out. It owns the mailbox, the bell and the counts; every decision is package decider's.
package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"switchfork/internal/cluster/election"
	"switchfork/internal/cluster/transport"
	"switchfork/internal/policy"

	"github.com/VictoriaMetrics/metrics"
)

// Transport carries bytes to another agent, or loses them.
type Transport interface{ Send(to int, b []byte) }

// Store keeps a memory; when Keep returns without an error it is on a disk.
type Store interface {
	Save(election.DurableState) error
	Close() error
}

// Callbacks is what the council asks of the rest of the agent.
type Callbacks struct {
	// Cast writes a vote unless it is later than before by then; over is called once it is known to be carried out, or never
	// to be. wrote tells whether it was written at all.
	CastVote func(v policy.Vote, before time.Time, over func(wrote bool))
	// News gives the module where a build stands.
	UpdateRollout func(policy.RolloutUpdate)
}

// What comes into the mailbox.
type (
	message struct{ bytes []byte }
	vote    struct{ policy.Vote }
	news    struct{ policy.RolloutUpdate }
	over    struct{ record election.Record }
	leave   struct{ gone chan struct{} }
	ask     struct{ answer chan election.Status }
	change  struct {
		in, out int // an agent, or -1
		answer  chan error
	}
)

// errNoDisk: an agent that restarts without a memory would count by the members of its first day, who may agree without
// those of today.
var errNoDisk = errors.New("members change only where each agent has a state folder")

// boxMost: what others say is dropped when so much waits; what the agent itself says waits for room.
const boxMost = 1024

// Coordinator is the actor.
type Coordinator struct {
	decider *election.Replica
	group   uint64
	me      int
	lease   time.Duration
	way     Transport
	store   Store // nil: no disk
	desk    Callbacks
	box     chan any
	start   time.Time

	wish    election.Decision
	told    time.Time
	newest  policy.RolloutUpdate
	known   bool // there was news
	stopped *election.Decision
	term    uint64 // of this agent's lead; 0: none
	failed  bool   // the disk
	left    bool

	set                                             *metrics.Set
	terms, handed, casts, late, in, out, lost, kept *metrics.Counter
	leads                                           atomic.Int64 // microseconds of the lease left
}

// Replica is how an agent sits in its council.
type Replica struct {
	Index    int
	Members  election.Members
	State    *election.DurableState // nil: none was ever kept
	Settings election.Settings
	Group    uint64
	Seed     int64
}

// New makes a council. Without a memory the agent abstains at first: it may have run before.
func New(seat Replica, way Transport, store Store, desk Callbacks) *Coordinator {
	c := &Coordinator{
		group: seat.Group, me: seat.Index, way: way, store: store, desk: desk, box: make(chan any, boxMost), start: time.Now(),
		lease: time.Duration(seat.Settings.Lease) * time.Microsecond, set: metrics.NewSet(),
	}
	c.decider = election.New(seat.Index, seat.Members, seat.State, seat.Settings, election.DisabledGuards{}, seat.State == nil, c.now(), seat.Seed)
	for name, counter := range map[string]**metrics.Counter{
		"terms_total": &c.terms, "hand_overs_total": &c.handed, "casts_total": &c.casts,
		"casts_refused_total": &c.late, "messages_in_total": &c.in, "messages_out_total": &c.out, "messages_dropped_total": &c.lost, "syncs_total": &c.kept,
	} {
		*counter = c.set.NewCounter("switchfork_decider_" + name)
	}
	c.set.NewGauge("switchfork_decider_lease_seconds", func() float64 { return float64(c.leads.Load()) / 1e6 })
	return c
}

// Metrics are the council's figures.
func (c *Coordinator) Metrics() *metrics.Set { return c.set }

func (c *Coordinator) now() election.Micros { return time.Since(c.start).Microseconds() + 1 }

// Receive takes bytes from another agent.
func (c *Coordinator) Receive(b []byte) {
	select {
	case c.box <- message{b}:
	default:
		c.lost.Inc()
	}
}

// Recommend takes the module's vote as a wish.
func (c *Coordinator) Recommend(v policy.Vote) { c.box <- vote{v} }

// UpdateRollout takes what the launcher tells.
func (c *Coordinator) UpdateRollout(s policy.RolloutUpdate) { c.box <- news{s} }

// Leave passes the lead on, and returns when that is said.
func (c *Coordinator) Leave(ctx context.Context) {
	gone := make(chan struct{})
	select {
	case c.box <- leave{gone}:
	case <-ctx.Done():
		return
	}
	select {
	case <-gone:
	case <-ctx.Done():
	}
}

// Status tells who leads.
func (c *Coordinator) Status(ctx context.Context) (s election.Status, err error) {
	answer := make(chan election.Status, 1)
	select {
	case c.box <- ask{answer}:
	case <-ctx.Done():
		return s, ctx.Err()
	}
	select {
	case s = <-answer:
		return s, nil
	case <-ctx.Done():
		return s, ctx.Err()
	}
}

// ChangeMembers lets an agent in, or takes one out; -1 is none.
func (c *Coordinator) ChangeMembers(ctx context.Context, in, out int) error {
	answer := make(chan error, 1)
	select {
	case c.box <- change{in, out, answer}:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Serve empties the mailbox until the end.
func (c *Coordinator) Serve(ctx context.Context) {
	timer := time.NewTimer(0)
	for {
		select {
		case <-ctx.Done():
			if c.store != nil {
				c.store.Close()
			}
			return
		case <-timer.C:
			c.carry(c.decider.Tick(c.now()))
			if c.wish != (election.Decision{}) && time.Since(c.told) >= c.lease/2 {
				c.told = time.Now()
				c.carry(c.decider.Recommend(c.now(), c.wish))
			}
			timer.Reset(time.Duration(c.decider.NextTick()-c.now()) * time.Microsecond)
		case n := <-c.box:
			c.note(n)
		}
		c.account()
	}
}

var (
	verdicts = map[policy.Verdict]election.Verdict{policy.NoVote: election.NoVote, policy.Advance: election.Advance, policy.Hold: election.Hold, policy.RollBack: election.RollBack}
	asVote   = map[election.Verdict]policy.Verdict{election.NoVote: policy.NoVote, election.Advance: policy.Advance, election.Hold: policy.Hold, election.RollBack: policy.RollBack}
)

func (c *Coordinator) note(n any) {
	now := c.now()
	switch n := n.(type) {
	case message:
		from, m, err := transport.Decode(c.group, n.bytes)
		if err != nil || from == c.me {
			c.lost.Inc()
			return
		}
		c.in.Inc()
		c.carry(c.decider.Receive(now, from, m))
	case vote:
		c.wish, c.told = election.Decision{Build: int32(n.Build), Stage: int32(n.Stage), Verdict: verdicts[n.Verdict]}, time.Now()
		c.carry(c.decider.Recommend(now, c.wish))
	case news:
		c.newest, c.known = n.RolloutUpdate, true
		c.newest.IsVoteReply = false
		c.carry(c.decider.UpdateRollout(now, int32(n.Build), int32(n.Stage), n.Phase == policy.Evaluating))
		if s := c.stopped; s != nil && int(s.Build) == n.Build && int(s.Stage) == n.Stage {
			c.stop(*s) // the news has told the cap again
		}
	case over:
		c.carry(c.decider.ResolveVote(now, n.record))
	case leave:
		c.left = true
		c.carry(c.decider.Leave(now))
		close(n.gone)
	case ask:
		n.answer <- c.decider.Status(now)
	case change:
		if c.store == nil {
			n.answer <- errNoDisk
			return
		}
		mask := c.decider.Status(now).Members.Mask
		if n.in >= 0 {
			mask |= 1 << n.in
		}
		if n.out >= 0 {
			mask &^= 1 << n.out
		}
		orders, err := c.decider.ChangeMembers(now, mask)
		if c.carry(orders); err == nil {
			slog.Info("members change", "in", n.in, "out", n.out, "members", c.decider.Status(now).Members.Mask)
		}
		n.answer <- err
	}
}

func (c *Coordinator) carry(orders []election.Command) {
	for _, o := range append([]election.Command(nil), orders...) {
		switch o := o.(type) {
		case election.Persist:
			if c.store == nil || c.failed {
				continue
			}
			if err := c.store.Save(o.DurableState); err != nil {
				c.failed = true
				slog.Error("decider: the state folder can't be written; this agent takes no part any more", "err", err)
				c.decider.StopParticipating(c.now())
				return // nothing that was to follow is answered for
			}
			c.kept.Inc()
		case election.SendMessage:
			c.out.Inc()
			c.way.Send(o.To, transport.Encode(c.group, c.me, o.Message))
		case election.CastVote:
			c.cast(o)
		case election.SelfStop:
			if o.Stop {
				c.stop(o.Decision)
			} else if c.stopped = nil; c.known {
				c.desk.UpdateRollout(c.newest)
			}
		}
	}
}

func (c *Coordinator) cast(o election.CastVote) {
	r := o.Record
	before := c.start.Add(time.Duration(o.WriteBefore-1) * time.Microsecond)
	slog.Info("casts", "term", r.Term, "decision", r.Index, "build", r.Build, "stage", r.Stage, "verdict", r.Verdict.String())
	c.desk.CastVote(policy.Vote{Build: int(r.Build), Stage: int(r.Stage), Verdict: asVote[r.Verdict]}, before, func(wrote bool) {
		if wrote {
			c.casts.Inc()
		} else {
			c.late.Inc()
			slog.Warn("a vote was not written: its time was over", "term", r.Term, "decision", r.Index)
		}
		c.box <- over{r}
	})
}

// stop has the module send nothing more to a build that is on trial.
func (c *Coordinator) stop(d election.Decision) {
	if c.stopped == nil {
		slog.Warn("no decider in reach: this agent stops sending to the build by itself", "build", d.Build, "stage", d.Stage)
	}
	c.stopped = &d
	c.desk.UpdateRollout(policy.RolloutUpdate{Build: int(d.Build), Stage: int(d.Stage), Phase: policy.Evaluating, Cap: 0, Age: c.newest.Age})
}

// account writes down where the lead is.
func (c *Coordinator) account() {
	s := c.decider.Status(c.now())
	c.leads.Store(s.LeaseRemaining)
	switch {
	case s.IsLeader && s.Term != c.term:
		c.terms.Inc()
		slog.Info("leads", "term", s.Term, "members", s.Members.Count(), "waits_ms", s.EarlierVotesExpireIn/1000)
		c.term = s.Term
	case !s.IsLeader && c.term != 0:
		if c.left {
			c.handed.Inc()
		}
		slog.Info("leads no more", "term", c.term, "left", c.left)
		c.term = 0
	}
}
