package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"switchfork/internal/fakes"

	"github.com/spf13/cobra"
	"golang.org/x/term"
)

// Bounds of the --for flag.
const (
	minDemoLength     = 5 * time.Second
	maxDemoLength     = 10 * time.Minute
	defaultDemoLength = 30 * time.Second
)

const (
	// demoNewBuild is released while the demo runs.
	demoNewBuild = testbedBuild + 1
	// badReleaseErrors is the part of its requests that a bad release fails.
	badReleaseErrors = 0.33
	// floodFactor is how many times its share a flooding tenant sends.
	floodFactor = 20

	// The release starts at a tenth of the demo's length, the flood at a third.
	releaseDelayDivisor = 10
	floodDelayDivisor   = 3

	votePollInterval = 50 * time.Millisecond
	// plainOutputSeconds between two states that are printed where the output is no terminal.
	plainOutputSeconds = 5
	// clearLines moves the cursor up by a number of lines and clears the screen below.
	clearLines = "\033[%dA\033[J"

	loadSeed         = 1
	floodSeed        = 99
	stageSeedSpacing = 100
)

// releaseStage is a stage of the demo's release.
type releaseStage struct {
	newEndpoints int
	trafficCap   float64
}

var releaseStages = []releaseStage{{2, 0.2}, {4, 0.6}, {6, 1}}

// demo shows the agent at work under load while a new build is released.
type demo struct {
	out     io.Writer
	program string
	flood   string // the tenant that floods; empty: none
	isBad   bool   // the release
	length  time.Duration

	testbed      *testbed
	clients      *fakes.Clients
	releaseState atomic.Value // a string to display
	startedAt    time.Time
	isTerminal   bool
	printedLines int // of the display
}

func demoCommand() *cobra.Command {
	var d demo
	c := &cobra.Command{
		Use: "demo", Short: "the agent at work on loopback, among stand-ins, with a release on its way", Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			if d.flood != "" && !slices.Contains(tenantNames, d.flood) {
				return usageError{fmt.Errorf("--flood is %q, expected one of %s", d.flood, strings.Join(tenantNames, ", "))}
			}
			if d.length < minDemoLength || d.length > maxDemoLength {
				return usageError{fmt.Errorf("--for is %v, expected 5s to 10m", d.length)}
			}
			d.out = c.OutOrStdout()
			return d.run()
		},
	}
	c.Flags().StringVar(&d.flood, "flood", "", "a tenant that sends twenty times its share from a third of the time on")
	c.Flags().BoolVar(&d.isBad, "bad-release", false, "the release fails a third of its txns")
	c.Flags().DurationVar(&d.length, "for", defaultDemoLength, "how long it plays")
	c.Flags().StringVar(&d.program, "agent", "", "the agent's program; built anew where none is named")
	return c
}

func (d *demo) run() error {
	printf(d.out, "building and starting the agent among stand-ins on loopback ...\n")
	t, err := startTestbed(d.program, operatorWithAdmission)
	if err != nil {
		return err
	}
	defer t.close()
	d.testbed = t
	d.clients = t.newClients()
	d.releaseState.Store(fmt.Sprintf("build %d released", testbedBuild))
	ctx, stop := context.WithTimeout(context.Background(), d.length)
	defer stop()
	loadDone := make(chan struct{})
	go func() {
		d.clients.Send(ctx, loadSeed, testbedClients()...)
		close(loadDone)
	}()
	if d.flood != "" {
		go d.sendFlood(ctx)
	}
	releaseDone := make(chan struct{})
	go func() {
		d.release(ctx)
		close(releaseDone)
	}()
	d.display(loadDone)
	stop()
	<-releaseDone
	d.printSummary()
	return nil
}

// sendFlood sends the flooding tenant's extra load after a part of the time.
func (d *demo) sendFlood(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(d.length / floodDelayDivisor):
		share := tenantShares[slices.Index(tenantNames, d.flood)]
		extra := (floodFactor - 1) * testbedLoad * share
		d.clients.Send(ctx, floodSeed, fakes.ClientGroup{Tenant: d.flood, Rate: extra, PostShare: testbedPostShare})
	}
}

// release takes the new build through the stages, as far as the agent approves it.
func (d *demo) release(ctx context.Context) {
	time.Sleep(d.length / releaseDelayDivisor)
	for number, stage := range releaseStages {
		if err := d.startStage(number, stage); err != nil {
			return
		}
		if !d.awaitApproval(ctx, number) {
			return
		}
	}
	d.testbed.deployment.UpdateRollout(demoNewBuild, len(releaseStages)-1, "live", 1)
	d.releaseState.Store(fmt.Sprintf("build %d released", demoNewBuild))
}

func (d *demo) startStage(number int, stage releaseStage) error {
	seed := int64(stageSeedSpacing * (number + 1))
	endpoints, err := d.testbed.deployment.Add(stage.newEndpoints, fakes.EndpointOptions{
		Build: demoNewBuild, Slots: testbedSlots, ServiceTime: testbedWork, Seed: seed,
	})
	if err != nil {
		return err
	}
	if d.isBad {
		for _, endpoint := range endpoints {
			endpoint.SetErrorShare(badReleaseErrors)
		}
	}
	d.testbed.deployment.UpdateRollout(demoNewBuild, number, "testing", stage.trafficCap)
	d.releaseState.Store(fmt.Sprintf("build %d on trial, stage %d, cap %.0f%%", demoNewBuild, number, 100*stage.trafficCap))
	return nil
}

// awaitApproval waits for the agent's vote on a stage and reports whether it approves. The build is rolled back if it doesn't.
func (d *demo) awaitApproval(ctx context.Context, stage int) bool {
	deployment := d.testbed.deployment
	for deployment.Votes("approve") == 0 {
		if deployment.Votes("reject") > 0 {
			deployment.UpdateRollout(demoNewBuild, stage, "recalled", 0)
			d.releaseState.Store(fmt.Sprintf("build %d sent back at stage %d", demoNewBuild, stage))
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(votePollInterval):
		}
	}
	return true
}

// display prints the state each second until the load has ended: over the last one on a terminal, else less often.
func (d *demo) display(loadDone <-chan struct{}) {
	file, isFile := d.out.(*os.File)
	d.isTerminal = isFile && term.IsTerminal(int(file.Fd()))
	d.startedAt = time.Now()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		isDone := false
		select {
		case <-loadDone:
			isDone = true
		case <-ticker.C:
		}
		d.printState(isDone)
		if isDone {
			return
		}
	}
}

func (d *demo) printState(isDone bool) {
	lines := d.stateLines()
	if d.isTerminal && d.printedLines > 0 {
		printf(d.out, clearLines, d.printedLines)
	}
	if d.isTerminal || isDone || int(time.Since(d.startedAt).Seconds())%plainOutputSeconds == 0 {
		printf(d.out, "%s\n", strings.Join(lines, "\n"))
	}
	d.printedLines = len(lines)
}

func (d *demo) stateLines() []string {
	memoryMB, descriptors := d.testbed.agent.Usage()
	lines := []string{fmt.Sprintf("%3.0f s of %.0f  %s  agent %.0f MB, %d descriptors",
		time.Since(d.startedAt).Seconds(), d.length.Seconds(), d.releaseState.Load(), memoryMB, descriptors)}
	succeededByBuild := map[string]int{}
	for _, name := range tenantNames {
		totals := d.clients.Totals(name)
		for build, count := range totals.Builds {
			succeededByBuild[build] += count
		}
		lines = append(lines, fmt.Sprintf("  %-12s offered %6d  settled %6d (in time %3.0f%%)  declined %5d  voided or failed %4d  back %5d",
			name, totals.Offered, totals.Succeeded, 100*float64(totals.InTime)/max(1, float64(totals.Offered)),
			totals.Rejected, totals.Failed, totals.Returned))
	}
	warnings := 0
	for _, entry := range d.testbed.log.entries("attempt failed") {
		if entry.AttemptResult != nil {
			warnings++
		}
	}
	return append(lines, fmt.Sprintf("  settled by build 7: %d, by build 8: %d; endings worth a line in the log: %d",
		succeededByBuild["7"], succeededByBuild["8"], warnings))
}

func (d *demo) printSummary() {
	succeeded, offered := 0, 0
	for _, name := range tenantNames {
		totals := d.clients.Totals(name)
		succeeded += totals.Succeeded
		offered += totals.Offered
	}
	printf(d.out, "\n%d of %d txns settled, half of them within %v, 99 in 100 within %v; %s\n", succeeded, offered,
		d.clients.LatencyPercentile(50).Round(time.Millisecond), d.clients.LatencyPercentile(99).Round(time.Millisecond), d.releaseState.Load())
}
