package main

import (
	"errors"
	"io"
	"runtime"
	"sync"

	"switchfork/internal/admission"
	"switchfork/internal/simulation"

	"github.com/spf13/cobra"
)

// The simulated fleet and its load.
const (
	simulatedEndpoints      = 12
	simulatedSlots          = 4 // requests that an endpoint serves at the same time
	simulatedMeanWorkMicros = 40_000
	simulatedLoad           = 0.6 // load of tenants that all send their share, as a fraction of the endpoints' capacity
	overloadFactor          = 3   // load of the overload scenario, as a multiple of the endpoints' capacity
	// slowFactor is the factor by which the endpoints slow down in the middle third of the slow scenario.
	slowFactor = 5
)

// Names of the simulated scenarios.
const (
	noiselessScenario  = "no noise"
	noisyScenario      = "noisy"
	twoNoisyScenario   = "two noisy"
	newClientsScenario = "new clients"
	overloadScenario   = "overload"
	slowScenario       = "slow endpoints"
)

// Numbers of one-off clients after which the heap sizes are compared.
const (
	fewOneOffClients  = 10_000
	manyOneOffClients = 100_000
	bytesPerKiB       = 1 << 10
)

// Bounds of the flags.
const (
	maxNoisyTenants  = 3
	minRunSeconds    = 5
	maxRunSeconds    = 600
	maxOneOffClients = 1_000_000
)

// tenantShares are the shares of the tenants in all experiments.
var tenantShares = []float64{0.4, 0.25, 0.2, 0.15}

// admissionExperiment measures how tenants are served while noisy ones send more than their share. It compares this with the
// same load without noise and with simpler admission policies.
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
				return usageError{errors.New("invalid flags, expected --times of at least 1, --noisy 1 to 3, --seconds 5 to 600, --one-off 0 to 1000000")}
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
		e.noisyTenants >= 1 && e.noisyTenants <= maxNoisyTenants &&
		e.seconds >= minRunSeconds && e.seconds <= maxRunSeconds &&
		e.oneOffClients >= 0 && e.oneOffClients <= maxOneOffClients
}

// run runs the experiment in simulated time.
func (e *admissionExperiment) run(out io.Writer) error {
	report := &admissionReport{cases: e.cases(), noisyTenants: e.noisyTenants}
	playCases(report.cases)
	if err := report.print(out); err != nil {
		return err
	}
	var expected thresholds
	report.check(&expected)
	few, many := heapAfterOneOffClients(fewOneOffClients), heapAfterOneOffClients(manyOneOffClients)
	printf(out, "heap after 10,000 one-off clients %d KiB, after 100,000 %d KiB\n", few/bytesPerKiB, many/bytesPerKiB)
	expected.atMost("growth of the heap with ten times the one-off clients, MiB", float64(many-few)/maxHeapGrowthBytes, 1)
	if err := expected.err(); err != nil {
		return err
	}
	printf(out, "all thresholds are met\n")
	return nil
}

// cases returns the runs in the order of the printed table.
func (e *admissionExperiment) cases() []*admissionCase {
	noiseless := e.noiselessLoad()
	noisy := noiseless
	noisy.NoiseFactor = e.noiseFactor
	for tenant := range e.noisyTenants {
		noisy.NoisyTenants = append(noisy.NoisyTenants, tenant)
	}
	twoNoisy := noisy
	twoNoisy.NoisyTenants = []int{0, 1}
	newClients := noisy
	newClients.UniqueNoisyClients = true
	overload := noiseless
	overload.OverloadFactor = overloadFactor
	slow := noisy
	slow.SlowFactor = slowFactor
	slow.SlowFrom = int64(e.seconds) * microsPerSecond / 3
	slow.SlowTo = int64(e.seconds) * microsPerSecond * 2 / 3
	return []*admissionCase{
		{name: noiselessScenario, scenario: noiseless, policy: simulation.FairQueues},
		{name: noisyScenario, scenario: noisy, policy: simulation.FairQueues},
		{name: twoNoisyScenario, scenario: twoNoisy, policy: simulation.FairQueues},
		{name: newClientsScenario, scenario: newClients, policy: simulation.FairQueues},
		{name: overloadScenario, scenario: overload, policy: simulation.FairQueues},
		{name: slowScenario, scenario: slow, policy: simulation.FairQueues},
		{name: noisyScenario, scenario: noisy, policy: simulation.FairQueuesNoReservations},
		{name: noiselessScenario, scenario: noiseless, policy: simulation.FIFO},
		{name: noisyScenario, scenario: noisy, policy: simulation.FIFO},
		{name: noisyScenario, scenario: noisy, policy: simulation.TokenBucket},
		{name: overloadScenario, scenario: overload, policy: simulation.FIFO},
	}
}

// noiselessLoad returns the load of tenants that all send their share.
func (e *admissionExperiment) noiselessLoad() simulation.AdmissionScenario {
	return simulation.AdmissionScenario{
		Seed:          e.seed,
		Seconds:       e.seconds,
		Endpoints:     simulatedEndpoints,
		Slots:         simulatedSlots,
		MeanWork:      simulatedMeanWorkMicros,
		Load:          simulatedLoad,
		TenantShares:  tenantShares,
		OneOffClients: e.oneOffClients,
		NoiseFactor:   1,
	}
}

// playCases simulates all cases concurrently and sets their results.
func playCases(cases []*admissionCase) {
	var players sync.WaitGroup
	for _, c := range cases {
		players.Go(func() { c.result = simulation.PlayAdmission(c.scenario, c.policy) })
	}
	players.Wait()
}

// heapAfterOneOffClients returns the size of the heap with an admission controller that has served the given number of clients,
// each with one request. One request ends for every two arrivals, so half of the clients are rejected.
func heapAfterOneOffClients(clients int) int64 {
	const (
		interval  = 1000      // time between arrivals, in microseconds
		timeout   = 2_000_000 // in microseconds
		objective = 800_000   // latency objective, in microseconds
	)
	controller := admission.New(admission.Config{
		Classes:    []admission.RequestClass{{LatencyObjective: objective, Timeout: timeout, PriorityWeight: 1}},
		Tenants:    []admission.Tenant{{Weight: 1}},
		Limits:     admission.Limits{Requests: 1000, Bytes: 1 << 30, Queues: 64},
		RetryAfter: admission.RetryAfterLimits{Max: timeout},
		Seed:       1,
	})
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

// heapWith returns the size of the heap, including the given object.
func heapWith(object any) int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	runtime.KeepAlive(object)
	return int64(stats.HeapAlloc)
}
