package coordinator

import (
	"strings"
	"testing"
)

// Every metric is exported under its name and, for older dashboards, under its earlier name with the same value if it has one. The HELP line of
// the earlier name calls it deprecated.
func TestDeprecatedMetricNames(t *testing.T) {
	m := newReplicaMetrics()
	m.votesCast.Add(3)
	m.leaseRemaining.Store(1_500_000)
	var out strings.Builder
	m.set.WritePrometheus(&out)
	lines := strings.Split(out.String(), "\n")
	metrics := map[string]string{
		"terms_total":            "0",
		"hand_overs_total":       "0",
		"casts_total":            "3",
		"casts_refused_total":    "0",
		"messages_in_total":      "0",
		"messages_out_total":     "0",
		"messages_dropped_total": "0",
		"syncs_total":            "0",
		"lease_seconds":          "1.5",
	}
	count := map[string]int{}
	for _, line := range lines {
		count[line]++
	}
	for name, value := range metrics {
		for _, want := range []string{
			"switchfork_election_" + name + " " + value,
			"switchfork_decider_" + name + " " + value,
			"# HELP switchfork_decider_" + name + " Deprecated: use switchfork_election_" + name + ".",
		} {
			if count[want] != 1 {
				t.Errorf("got %d lines %q, want 1", count[want], want)
			}
		}
	}
	newMetrics := []string{"switchfork_election_controller_probes_total 0"}
	for _, want := range newMetrics {
		if count[want] != 1 {
			t.Errorf("got %d lines %q, want 1", count[want], want)
		}
	}
	if got, want := strings.Count(out.String(), "\nswitchfork_")+1, 2*len(metrics)+len(newMetrics); got != want {
		t.Errorf("got %d metrics, want %d:\n%s", got, want, out.String())
	}
}
