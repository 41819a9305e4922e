package coordinator

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

const (
	metricsPrefix = "switchfork_decider_"
	leaseGauge       = "lease_seconds"
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
	m := &replicaMetrics{set: metrics.NewSet()}
	m.electionsWon = m.newCounter("terms_total")
	m.handOvers = m.newCounter("hand_overs_total")
	m.votesCast = m.newCounter("casts_total")
	m.votesRefused = m.newCounter("casts_refused_total")
	m.messagesReceived = m.newCounter("messages_in_total")
	m.messagesSent = m.newCounter("messages_out_total")
	m.messagesDropped = m.newCounter("messages_dropped_total")
	m.stateSyncs = m.newCounter("syncs_total")
	m.set.NewGauge(metricsPrefix+leaseGauge, m.leaseSeconds)
	return m
}

func (m *replicaMetrics) newCounter(name string) *metrics.Counter {
	return m.set.NewCounter(metricsPrefix + name)
}

func (m *replicaMetrics) leaseSeconds() float64 {
	return float64(m.leaseRemaining.Load()) / microsPerSecond
}
