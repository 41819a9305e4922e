package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"switchfork/internal/fakes"
)

// Thresholds of the experiment with the real agent. The agent shares few cores with the clients and the endpoints, so the
// thresholds leave room for noise in the measurements.
const (
	minSocketOthersInTime        = 0.95
	minSocketReservationsHonored = 0.8
	minSocketThroughput          = 0.9
	// minSocketReservations is the number of reservations above which the share of honored ones is checked.
	minSocketReservations = 50
	// Limits on the growth of memory and descriptors in the last quarter of a run, compared with the maximum of the earlier
	// quarters. Some growth is normal because the clients' connections come and go.
	maxMemoryGrowthMB    = 4.0
	maxDescriptorsGrowth = 40
)

// Names of the runs with the real agent, which also name their log files.
const (
	noiselessRun        = "no noise, admission control"
	noisyRun            = "noisy, admission control"
	noisyNoAdmissionRun = "noisy, no admission control"
)

const (
	// noisyTenant is the index of the noisy tenant in the runs with the real agent.
	noisyTenant = 0
	// maxSocketSeconds bounds the length of a run in seconds.
	maxSocketSeconds = 20
	// usageSamples is the number of samples of memory and descriptors in a run.
	usageSamples = 4
)

// socketRun is one run of the real agent under a load, with the measurements.
type socketRun struct {
	name         string
	operatorFile string
	noiseFactor  float64

	inTime      []float64 // fraction of the requests that succeeded in time, by tenant
	succeeded   int
	others      othersCounts
	honored     float64 // reservations that were honored
	missed      float64 // reservations that were missed
	memoryMB    []float64
	descriptors []int
}

// othersCounts holds sums over the tenants that are not noisy.
type othersCounts struct {
	late     int // succeeded after the latency objective
	rejected int
	failed   int
	returned int // retried by their clients after a rejection
}

func (c othersCounts) String() string {
	return fmt.Sprintf("%d, %d, %d, %d", c.late, c.rejected, c.failed, c.returned)
}

// runOnSockets runs a short form of the experiment with the real agent: a load without noise, and a noisy load with and without
// admission control.
func (e *admissionExperiment) runOnSockets(out io.Writer, logFolder string) error {
	dir, err := os.MkdirTemp("", "switchfork-lab")
	if err != nil {
		return err
	}
	defer removeTemporary(dir)
	program, err := agentProgram(dir, "")
	if err != nil {
		return err
	}
	duration := time.Duration(min(e.seconds, maxSocketSeconds)) * time.Second
	noiseless := &socketRun{name: noiselessRun, operatorFile: operatorWithAdmission, noiseFactor: 1}
	noisy := &socketRun{name: noisyRun, operatorFile: operatorWithAdmission, noiseFactor: e.noiseFactor}
	noisyNoAdmission := &socketRun{name: noisyNoAdmissionRun, operatorFile: operatorWithoutAdmission, noiseFactor: e.noiseFactor}
	runs := []*socketRun{noiseless, noisy, noisyNoAdmission}
	for _, run := range runs {
		printf(out, "running %s for %d s ...\n", run.name, int(duration.Seconds()))
		if err := run.play(program, e.seed, duration, logFolder); err != nil {
			return err
		}
	}
	printSocketRuns(out, runs)
	if err := checkSocketRuns(noiseless, noisy, noisyNoAdmission); err != nil {
		return err
	}
	printf(out, "all thresholds are met\n")
	return nil
}

// play starts the agent, sends the load and takes the measurements.
func (r *socketRun) play(program string, seed int64, duration time.Duration, logFolder string) error {
	t, err := startTestbed(program, r.operatorFile)
	if err != nil {
		return err
	}
	defer t.close()
	clients := t.newClients()
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	done := runInBackground(func() { clients.Send(ctx, seed, r.clientGroups()...) })
	r.sampleUsage(t.agent, duration)
	<-done
	exitErr := t.stopAgent()
	if err := r.writeLog(t.log, logFolder); err != nil {
		return err
	}
	r.countReservations(t.log)
	r.countRequests(clients)
	if exitErr != nil {
		return fmt.Errorf("%s: stopping the agent: %w", r.name, exitErr)
	}
	return nil
}

func (r *socketRun) clientGroups() []fakes.ClientGroup {
	groups := testbedClients()
	groups[noisyTenant].Rate *= r.noiseFactor
	groups[noisyTenant].UniqueClients = r.noiseFactor > 1
	return groups
}

// sampleUsage samples the agent's memory and descriptors at equal intervals. The last sample is taken just before the end of the
// run.
func (r *socketRun) sampleUsage(agent *fakes.Agent, duration time.Duration) {
	for i := range usageSamples {
		time.Sleep(duration/usageSamples - time.Duration(i)*time.Millisecond)
		memoryMB, descriptors := agent.Usage()
		r.memoryMB = append(r.memoryMB, memoryMB)
		r.descriptors = append(r.descriptors, descriptors)
	}
}

func (r *socketRun) writeLog(log *agentLog, folder string) error {
	if folder == "" {
		return nil
	}
	file := strings.NewReplacer(", ", "-", " ", "-").Replace(r.name) + ".log"
	return os.WriteFile(filepath.Join(folder, file), []byte(log.String()), 0o644)
}

func (r *socketRun) countReservations(log *agentLog) {
	for _, entry := range log.entries("admission") {
		r.honored += entry.ReservationsHonored
		r.missed += entry.ReservationsMissed
	}
}

func (r *socketRun) countRequests(clients *fakes.Clients) {
	for tenant, name := range tenantNames {
		totals := clients.Totals(name)
		r.inTime = append(r.inTime, float64(totals.InTime)/max(1, float64(totals.Offered)))
		r.succeeded += totals.Succeeded
		if tenant == noisyTenant {
			continue
		}
		r.others.late += totals.Succeeded - totals.InTime
		r.others.rejected += totals.Rejected
		r.others.failed += totals.Failed
		r.others.returned += totals.Retries
	}
}

func printSocketRuns(out io.Writer, runs []*socketRun) {
	printf(out, "%-28s %-30s %-39s %9s %9s %9s  %-26s %s\n",
		"run", "in time, by tenant", "others late, rejected, failed, returned", "succeeded", "honored", "missed", "MB by quarters", "descriptors")
	for _, r := range runs {
		printf(out, "%-28s %-30s %-39s %9d %9.0f %9.0f  %-26s %v\n",
			r.name, fmt.Sprintf("%.3f", r.inTime), r.others, r.succeeded, r.honored, r.missed,
			fmt.Sprintf("%.1f", r.memoryMB), r.descriptors)
	}
}

func checkSocketRuns(noiseless, noisy, noisyNoAdmission *socketRun) error {
	var expected thresholds
	for tenant, name := range tenantNames {
		if tenant != noisyTenant {
			expected.atLeast(name+": requests in time compared with no noise", noisy.inTime[tenant]/noiseless.inTime[tenant], minSocketOthersInTime)
		}
	}
	expected.atLeast("throughput compared with no admission control", float64(noisy.succeeded)/float64(noisyNoAdmission.succeeded), minSocketThroughput)
	if reservations := noisy.honored + noisy.missed; reservations > minSocketReservations {
		expected.atLeast("share of reservations that were honored", noisy.honored/reservations, minSocketReservationsHonored)
	}
	const last = usageSamples - 1
	memoryGrowth := noisy.memoryMB[last] - slices.Max(noisy.memoryMB[:last])
	expected.atMost("growth of memory in the last quarter, MB", memoryGrowth, maxMemoryGrowthMB)
	descriptorsGrowth := float64(noisy.descriptors[last] - slices.Max(noisy.descriptors[:last]))
	expected.atMost("growth of descriptors in the last quarter", descriptorsGrowth, maxDescriptorsGrowth)
	return expected.err()
}
