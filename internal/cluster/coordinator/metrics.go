package coordinator

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

const (
	metricsPrefix = "switchfork_election_"
	// deprecatedPrefix is the prefix of the earlier names of the same metrics.
	deprecatedPrefix = "switchfork_decider_"
	leaseGauge       = "lease_seconds"
)

// replicaMetrics holds the metrics that the admin address exports. They may be read and changed from any goroutine.
type replicaMetrics struct {
	set      *metrics.Set
	counters []namedCounter // the counters below that have an earlier name

	electionsWon     *metrics.Counter // terms in which this agent has led
	handOvers        *metrics.Counter // leases handed over when the agent shut down
	votesCast        *metrics.Counter
	votesRefused     *metrics.Counter // votes not written, because it was too late or the controller could not be reached
	controllerProbes *metrics.Counter // calls to the rollout controller that ask only whether it answers
	messagesReceived *metrics.Counter
	messagesSent     *metrics.Counter
	messagesDropped  *metrics.Counter // messages received but not used
	stateSyncs       *metrics.Counter

	leaseRemaining atomic.Int64 // microseconds
}

// namedCounter is a counter and its name without the prefix.
type namedCounter struct {
	name    string
	counter *metrics.Counter
}

func newReplicaMetrics() *replicaMetrics {
	m := &replicaMetrics{set: metrics.NewSet()}
	m.electionsWon = m.newCounter("terms_total")
	m.handOvers = m.newCounter("hand_overs_total")
	m.votesCast = m.newCounter("casts_total")
	m.votesRefused = m.newCounter("casts_refused_total")
	m.controllerProbes = m.set.NewCounter(metricsPrefix + "controller_probes_total") // has no earlier name
	m.messagesReceived = m.newCounter("messages_in_total")
	m.messagesSent = m.newCounter("messages_out_total")
	m.messagesDropped = m.newCounter("messages_dropped_total")
	m.stateSyncs = m.newCounter("syncs_total")
	m.set.NewGauge(metricsPrefix+leaseGauge, m.leaseSeconds)
	m.set.RegisterMetricsWriter(m.writeDeprecated)
	return m
}

func (m *replicaMetrics) newCounter(name string) *metrics.Counter {
	counter := m.set.NewCounter(metricsPrefix + name)
	m.counters = append(m.counters, namedCounter{name, counter})
	return counter
}

func (m *replicaMetrics) leaseSeconds() float64 {
	return float64(m.leaseRemaining.Load()) / microsPerSecond
}

// writeDeprecated exports every metric under its earlier name as well, for dashboards that still read that name.
func (m *replicaMetrics) writeDeprecated(w io.Writer) {
	for _, named := range m.counters {
		writeDeprecation(w, named.name, "counter")
		metrics.WriteCounterUint64(w, deprecatedPrefix+named.name, named.counter.Get())
	}
	writeDeprecation(w, leaseGauge, "gauge")
	metrics.WriteGaugeFloat64(w, deprecatedPrefix+leaseGauge, m.leaseSeconds())
}

// writeDeprecation writes the HELP and TYPE lines for a metric's earlier name. A write error is ignored: it means that the reader has
// disconnected.
func writeDeprecation(w io.Writer, name, kind string) {
	earlier := deprecatedPrefix + name
	_, _ = fmt.Fprintf(w, "# HELP %s Deprecated: use %s.\n# TYPE %s %s\n", earlier, metricsPrefix+name, earlier, kind)
}
