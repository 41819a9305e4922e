package coordinator

import (
	"log/slog"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

const (
	metricsPrefix   = "switchfork_decider_"
	microsPerSecond = 1e6
	microsPerMilli  = 1000
)

// replicaMetrics are what the admin address exports. They may be read and changed from any goroutine.
type replicaMetrics struct {
	set *metrics.Set

	electionsWon     *metrics.Counter // terms in which this agent has led
	handOvers        *metrics.Counter // leases handed over at the agent's end
	votesCast        *metrics.Counter
	votesRefused     *metrics.Counter // not written, because it was too late or the controller could not be reached
	messagesReceived *metrics.Counter
	messagesSent     *metrics.Counter
	messagesDropped  *metrics.Counter // received, and not used
	stateSyncs       *metrics.Counter

	leaseRemaining atomic.Int64 // microseconds
}

func newReplicaMetrics() *replicaMetrics {
	set := metrics.NewSet()
	counter := func(name string) *metrics.Counter { return set.NewCounter(metricsPrefix + name) }
	m := &replicaMetrics{
		set:              set,
		electionsWon:     counter("terms_total"),
		handOvers:        counter("hand_overs_total"),
		votesCast:        counter("casts_total"),
		votesRefused:     counter("casts_refused_total"),
		messagesReceived: counter("messages_in_total"),
		messagesSent:     counter("messages_out_total"),
		messagesDropped:  counter("messages_dropped_total"),
		stateSyncs:       counter("syncs_total"),
	}
	set.NewGauge(metricsPrefix+"lease_seconds", func() float64 { return float64(m.leaseRemaining.Load()) / microsPerSecond })
	return m
}

// recordLeadership exports the remaining lease, and logs and counts when this agent begins or ceases to lead.
func (c *Coordinator) recordLeadership() {
	status := c.replica.Status(c.now())
	c.metrics.leaseRemaining.Store(status.LeaseRemaining)
	switch {
	case status.IsLeader && status.Term != c.leaderTerm:
		c.metrics.electionsWon.Inc()
		slog.Info("leadership acquired", "term", status.Term, "members", status.Members.Count(), "earlier_votes_expire_ms", status.EarlierVotesExpireIn/microsPerMilli)
		c.leaderTerm = status.Term
	case !status.IsLeader && c.leaderTerm != 0:
		if c.hasLeft {
			c.metrics.handOvers.Inc()
		}
		slog.Info("leadership lost", "term", c.leaderTerm, "handed_over", c.hasLeft)
		c.leaderTerm = 0
	}
}
