package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"switchfork/internal/simulation"
)

// Thresholds of the simulated experiment.
const (
	minOthersInTime        = 0.97 // for tenants that are not noisy: share of requests in time, as a fraction of the share without noise
	minJainIndex           = 0.98
	minThroughput          = 0.98 // as a fraction of the throughput under FIFO
	minReservationsHonored = 0.9
	maxRetryAfterRatio     = 2.0 // median of the Retry-After times, each divided by the wait that was needed
	maxHeapGrowthBytes     = 1 << 20
)

const admissionHeader = "policy\tscenario\tsucceeded in time, by tenant\tsucceeded\treservations honored\tmissed\thonored share\t" +
	"Retry-After/wait needed\tJain's index\tconcurrency limit\n"

// admissionReport prints the results of the cases and compares the agent's own policy with the simpler ones.
type admissionReport struct {
	cases        []*admissionCase
	noisyTenants int // number of noisy tenants in the scenarios that use --noisy
}

// result returns the result of a scenario under a policy.
func (r *admissionReport) result(name string, policy simulation.AdmissionPolicy) *simulation.AdmissionResult {
	for _, c := range r.cases {
		if c.name == name && c.policy == policy {
			return c.result
		}
	}
	panic(fmt.Sprintf("no case %s under %s", name, policy))
}

func (r *admissionReport) print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(table, admissionHeader)
	for _, c := range r.cases {
		printCase(table, c)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing the table: %w", err)
	}
	return nil
}

func printCase(table io.Writer, c *admissionCase) {
	result := c.result
	var inTime []string
	for tenant := range tenantShares {
		inTime = append(inTime, fmt.Sprintf("%.3f", inTimeShare(result, tenant)))
	}
	lastLimit := result.ConcurrencyLimits[len(result.ConcurrencyLimits)-1]
	printf(table, "%s\t%s\t%s\t%.0f\t%d\t%d\t%.3f\t%.2f\t%.4f\t%.0f\n",
		c.policy, c.name, strings.Join(inTime, " "), succeeded(result),
		result.Counters.ReservationsHonored, result.Counters.ReservationsMissed, honoredShare(result),
		quantile(result.RetryAfterRatios, median), jainIndex(result), lastLimit)
}

// check compares the agent's own policy with the simpler ones.
func (r *admissionReport) check(expected *thresholds) {
	for _, c := range r.cases {
		if c.policy != simulation.FairQueues {
			continue
		}
		switch c.name {
		case noisyScenario, newClientsScenario:
			r.checkOthers(expected, c, r.noisyTenants)
			expected.atLeast(c.name+": share of reservations that were honored", honoredShare(c.result), minReservationsHonored)
			expected.atMost(c.name+": Retry-After divided by the wait needed, median", quantile(c.result.RetryAfterRatios, median), maxRetryAfterRatio)
			r.checkThroughput(expected, c, noisyScenario)
		case twoNoisyScenario:
			r.checkOthers(expected, c, 2)
		case overloadScenario:
			expected.atLeast("Jain's index by weight", jainIndex(c.result), minJainIndex)
			r.checkThroughput(expected, c, overloadScenario)
		}
	}
}

// checkThroughput compares a case's throughput with the throughput of a scenario under FIFO.
func (r *admissionReport) checkThroughput(expected *thresholds, c *admissionCase, scenario string) {
	fifo := r.result(scenario, simulation.FIFO)
	expected.atLeast(c.name+": throughput compared with first in, first out", succeeded(c.result)/succeeded(fifo), minThroughput)
}

// checkOthers compares the tenants that are not noisy with the same tenants without noise.
func (r *admissionReport) checkOthers(expected *thresholds, c *admissionCase, noisyTenants int) {
	noiseless := r.result(noiselessScenario, simulation.FairQueues)
	for tenant := noisyTenants; tenant < len(tenantShares); tenant++ {
		name := fmt.Sprintf("%s: tenant %d, requests in time compared with no noise", c.name, tenant)
		expected.atLeast(name, inTimeShare(c.result, tenant)/inTimeShare(noiseless, tenant), minOthersInTime)
	}
}

// inTimeShare returns the fraction of a tenant's requests that succeeded within the latency objective.
func inTimeShare(r *simulation.AdmissionResult, tenant int) float64 {
	t := r.Tenants[tenant]
	return float64(t.InTime) / max(1, float64(t.Offered))
}

// succeeded returns the number of requests of all tenants that succeeded.
func succeeded(r *simulation.AdmissionResult) (total float64) {
	for _, tenant := range r.Tenants {
		total += float64(tenant.Succeeded)
	}
	return total
}

// honoredShare returns the number of honored reservations, as a fraction of the honored and missed ones.
func honoredShare(r *simulation.AdmissionResult) float64 {
	honored := float64(r.Counters.ReservationsHonored)
	missed := float64(r.Counters.ReservationsMissed)
	return honored / max(1, honored+missed)
}

// jainIndex returns Jain's fairness index of the admitted cost by weight. It is 1 if each tenant gets its share.
func jainIndex(r *simulation.AdmissionResult) float64 {
	sum, squares := 0.0, 0.0
	for tenant, cost := range r.AdmittedCost {
		normalized := cost / tenantShares[tenant]
		sum += normalized
		squares += normalized * normalized
	}
	return sum * sum / (float64(len(r.AdmittedCost)) * squares)
}
