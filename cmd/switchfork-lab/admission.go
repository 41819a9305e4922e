package main

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"

	"switchfork/internal/admission"
	"switchfork/internal/simulation"

	"github.com/spf13/cobra"
)

// Thresholds of the simulated experiment.
const (
	minOthersInTime        = 0.97 // of the tenants beside a noisy one, as a part of what they have without it
	minJainIndex           = 0.98
	minThroughput          = 0.98 // as a part of that under FIFO
	minReservationsHonored = 0.9
	maxRetryAfterRatio     = 2.0
	maxHeapGrowth          = 1 << 20
)

// maxSocketSeconds bounds a run with the real agent.
const maxSocketSeconds = 20

// Names of the simulated scenarios.
const (
	quietScenario      = "quiet"
	noisyScenario      = "noisy"
	twoNoisyScenario   = "two noisy"
	newClientsScenario = "new names"
	overloadScenario   = "all backlogged"
	slowScenario       = "slow fivefold"
)

// tenantShares of all experiments with several tenants.
var tenantShares = []float64{0.4, 0.25, 0.2, 0.15}

// admissionExperiment measures what tenants get while others send more than their share, beside the same load without the
// noise and beside simpler admission policies.
type admissionExperiment struct {
	seed          int64
	noiseFactor   float64
	noisyTenants  int
	oneOffClients int
	seconds       int
}

// admissionCase is one simulated run.
type admissionCase struct {
	name     string
	scenario simulation.AdmissionScenario
	policy   simulation.AdmissionPolicy
	result   *simulation.AdmissionResult
}

func newAdmissionCommand() *cobra.Command {
	var experiment admissionExperiment
	var usesSockets bool
	var logFolder string
	c := &cobra.Command{
		Use:   "admission",
		Short: "Measure what tenants get while others send more than their share",
		Long: "Measure how admission control shares an agent's capacity while one or several tenants send more than their share, beside the same\n" +
			"load without the excess and beside simpler algorithms. The experiment runs in simulated time; with --sockets, a short form of it\n" +
			"runs with the real agent on loopback.",
		Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			if !experiment.isValid() {
				return usageError{errors.New("--times from 1, --noisy 1 to 3, --seconds 5 to 600, --one-off 0 to 1000000")}
			}
			if usesSockets {
				return experiment.runOnSockets(c.OutOrStdout(), logFolder)
			}
			return experiment.run(c.OutOrStdout())
		},
	}
	c.Flags().Int64Var(&experiment.seed, "seed", 1, "seed of the simulated load")
	c.Flags().Float64Var(&experiment.noiseFactor, "times", 20, "load of a noisy tenant, as a multiple of its share")
	c.Flags().IntVar(&experiment.noisyTenants, "noisy", 1, "number of noisy tenants, 1 to 3")
	c.Flags().IntVar(&experiment.oneOffClients, "one-off", 5000, "number of clients that send a single request")
	c.Flags().IntVar(&experiment.seconds, "seconds", 60, "length of each run in seconds, 5 to 600")
	c.Flags().StringVar(&logFolder, "logs", "", "folder for the agent's logs, with --sockets")
	c.Flags().BoolVar(&usesSockets, "sockets", false, "run a short form with the real agent on loopback")
	return c
}

func (e *admissionExperiment) isValid() bool {
	return e.noiseFactor >= 1 &&
		e.noisyTenants >= 1 && e.noisyTenants <= 3 &&
		e.seconds >= 5 && e.seconds <= 600 &&
		e.oneOffClients >= 0 && e.oneOffClients <= 1_000_000
}

// run plays the simulated form.
func (e *admissionExperiment) run(out io.Writer) error {
	cases := e.cases()
	playCases(cases)
	if err := printCases(out, cases); err != nil {
		return err
	}
	var expected thresholds
	e.check(&expected, cases)
	few, many := heapAfterOneOffClients(10_000), heapAfterOneOffClients(100_000)
	printf(out, "heap after 10,000 one-off clients %d KiB, after 100,000 %d KiB\n", few>>10, many>>10)
	expected.atMost("heap after ten times the one-off clients, MiB more", float64(many-few)/maxHeapGrowth, 1)
	if err := expected.err(); err != nil {
		return err
	}
	printf(out, "all bars hold\n")
	return nil
}

// cases returns the runs in the order in which they are shown.
func (e *admissionExperiment) cases() []*admissionCase {
	quiet := simulation.AdmissionScenario{
		Seed: e.seed, Seconds: e.seconds, Endpoints: 12, Slots: 4, MeanWork: 40_000, Load: 0.6,
		TenantShares: tenantShares, OneOffClients: e.oneOffClients, NoiseFactor: 1,
	}
	noisy := quiet
	noisy.NoiseFactor = e.noiseFactor
	for tenant := range e.noisyTenants {
		noisy.NoisyTenants = append(noisy.NoisyTenants, tenant)
	}
	twoNoisy, newClients, overload, slow := noisy, noisy, quiet, noisy
	twoNoisy.NoisyTenants = []int{0, 1}
	newClients.UniqueNoisyClients = true
	overload.OverloadFactor = 3
	slow.SlowFactor = 5
	slow.SlowFrom = int64(e.seconds) * microsPerSecond / 3
	slow.SlowTo = int64(e.seconds) * microsPerSecond * 2 / 3
	return []*admissionCase{
		{name: quietScenario, scenario: quiet, policy: simulation.FairQueues},
		{name: noisyScenario, scenario: noisy, policy: simulation.FairQueues},
		{name: twoNoisyScenario, scenario: twoNoisy, policy: simulation.FairQueues},
		{name: newClientsScenario, scenario: newClients, policy: simulation.FairQueues},
		{name: overloadScenario, scenario: overload, policy: simulation.FairQueues},
		{name: slowScenario, scenario: slow, policy: simulation.FairQueues},
		{name: noisyScenario, scenario: noisy, policy: simulation.FairQueuesNoReservations},
		{name: quietScenario, scenario: quiet, policy: simulation.FIFO},
		{name: noisyScenario, scenario: noisy, policy: simulation.FIFO},
		{name: noisyScenario, scenario: noisy, policy: simulation.TokenBucket},
		{name: overloadScenario, scenario: overload, policy: simulation.FIFO},
	}
}

// playCases plays all cases at the same time.
func playCases(cases []*admissionCase) {
	var players sync.WaitGroup
	for _, c := range cases {
		players.Add(1)
		go func() {
			defer players.Done()
			c.result = simulation.PlayAdmission(c.scenario, c.policy)
		}()
	}
	players.Wait()
}

// resultOf returns the result of a scenario under a policy.
func resultOf(cases []*admissionCase, name string, policy simulation.AdmissionPolicy) *simulation.AdmissionResult {
	for _, c := range cases {
		if c.name == name && c.policy == policy {
			return c.result
		}
	}
	panic(fmt.Sprintf("no case %s under %s", name, policy))
}

func printCases(out io.Writer, cases []*admissionCase) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(table, "door\tday\tsettled in time, by tenant\tsettled\tkept\tbroken\tkept share\ttold/needed\tJain\tlimit\n")
	for _, c := range cases {
		r := c.result
		var inTime []string
		for tenant := range tenantShares {
			inTime = append(inTime, fmt.Sprintf("%.3f", inTimeShare(r, tenant)))
		}
		printf(table, "%s\t%s\t%s\t%.0f\t%d\t%d\t%.3f\t%.2f\t%.4f\t%.0f\n",
			c.policy, c.name, strings.Join(inTime, " "), succeeded(r),
			r.Counters.ReservationsHonored, r.Counters.ReservationsMissed, honoredShare(r),
			quantile(r.RetryAfterRatios, 0.5), jainIndex(r), r.ConcurrencyLimits[len(r.ConcurrencyLimits)-1])
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing the table: %w", err)
	}
	return nil
}

// check compares the agent's own policy with the baselines.
func (e *admissionExperiment) check(expected *thresholds, cases []*admissionCase) {
	quiet := resultOf(cases, quietScenario, simulation.FairQueues)
	noisyFIFO := resultOf(cases, noisyScenario, simulation.FIFO)
	overloadFIFO := resultOf(cases, overloadScenario, simulation.FIFO)
	for _, c := range cases {
		if c.policy != simulation.FairQueues {
			continue
		}
		r := c.result
		switch c.name {
		case noisyScenario, newClientsScenario:
			checkOthers(expected, c, quiet, e.noisyTenants)
			expected.atLeast(c.name+": who came back at the told time and got in at once", honoredShare(r), minReservationsHonored)
			expected.atMost(c.name+": told wait over the needed one, median", quantile(r.RetryAfterRatios, 0.5), maxRetryAfterRatio)
			expected.atLeast(c.name+": throughput beside first in, first out", succeeded(r)/succeeded(noisyFIFO), minThroughput)
		case twoNoisyScenario:
			checkOthers(expected, c, quiet, 2)
		case overloadScenario:
			expected.atLeast("Jain's index by weight", jainIndex(r), minJainIndex)
			expected.atLeast(c.name+": throughput beside first in, first out", succeeded(r)/succeeded(overloadFIFO), minThroughput)
		}
	}
}

// checkOthers compares the tenants that are not noisy with the same tenants in the quiet scenario.
func checkOthers(expected *thresholds, c *admissionCase, quiet *simulation.AdmissionResult, noisyTenants int) {
	for tenant := noisyTenants; tenant < len(tenantShares); tenant++ {
		name := fmt.Sprintf("%s: tenant %d beside its quiet day", c.name, tenant)
		expected.atLeast(name, inTimeShare(c.result, tenant)/inTimeShare(quiet, tenant), minOthersInTime)
	}
}

// inTimeShare returns the part of a tenant's requests that succeeded within the latency objective.
func inTimeShare(r *simulation.AdmissionResult, tenant int) float64 {
	t := r.Tenants[tenant]
	return float64(t.InTime) / max(1, float64(t.Offered))
}

// succeeded returns the number of requests that succeeded, of all tenants.
func succeeded(r *simulation.AdmissionResult) (total float64) {
	for _, tenant := range r.Tenants {
		total += float64(tenant.Succeeded)
	}
	return total
}

// honoredShare returns the part of the reservations whose clients were admitted when they returned in time.
func honoredShare(r *simulation.AdmissionResult) float64 {
	honored := float64(r.Counters.ReservationsHonored)
	missed := float64(r.Counters.ReservationsMissed)
	return honored / max(1, honored+missed)
}

// jainIndex returns Jain's fairness index of the admitted cost by weight: 1 where all tenants get their share.
func jainIndex(r *simulation.AdmissionResult) float64 {
	sum, squares := 0.0, 0.0
	for tenant, cost := range r.AdmittedCost {
		normalized := cost / tenantShares[tenant]
		sum += normalized
		squares += normalized * normalized
	}
	return sum * sum / (float64(len(r.AdmittedCost)) * squares)
}

// heapAfterOneOffClients returns the heap that an admission controller holds after so many clients that came once. Every second
// arrival one request ends, so half of the clients are rejected.
func heapAfterOneOffClients(clients int) int64 {
	const (
		interval  = 1000 // between arrivals, in microseconds
		timeout   = 2_000_000
		objective = 800_000
	)
	controller := admission.New(
		[]admission.RequestClass{{LatencyObjective: objective, Timeout: timeout, PriorityWeight: 1}},
		[]admission.Tenant{{Weight: 1}},
		admission.Limits{Requests: 1000, Bytes: 1 << 30, Queues: 64},
		admission.RetryAfterLimits{Max: timeout},
		false, 1,
	)
	var admitted []uint64
	execute := func(commands []admission.Command) {
		for _, command := range commands {
			if command.Kind == admission.Admit {
				admitted = append(admitted, command.ID)
			}
		}
	}
	now := int64(0)
	for id := range uint64(clients) {
		now += interval
		execute(controller.Arrive(now, admission.Arrival{ID: id + 1, Client: id, Key: id + 1, Deadline: now + timeout, Bytes: 400}))
		if next := controller.NextTimer(); next > 0 && next <= now {
			execute(controller.TimerFired(now))
		}
		if id%2 == 0 && len(admitted) > 0 {
			first := admitted[0]
			admitted = admitted[1:]
			execute(controller.AttemptSent(now, first))
			execute(controller.Finish(now, first, admission.Succeeded))
		}
	}
	return heapWith(controller)
}

// heapWith returns the size of the heap while an object is alive.
func heapWith(object any) int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	runtime.KeepAlive(object)
	return int64(stats.HeapAlloc)
}
