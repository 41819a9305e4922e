package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"switchfork/internal/fakes"

	"github.com/spf13/cobra"
)

// Bounds of the --for flag.
const (
	minDemoLength     = 5 * time.Second
	maxDemoLength     = 10 * time.Minute
	defaultDemoLength = 30 * time.Second
)

const (
	// demoNewBuild is the build that is released while the demo runs.
	demoNewBuild = testbedBuild + 1
	// badReleaseErrors is the fraction of the requests to a bad release that fail.
	badReleaseErrors = 0.33
	// floodFactor is the load of a flooding tenant, as a multiple of its share.
	floodFactor = 20

	// The release starts after a tenth of the length of the demo, the flood after a third.
	releaseDelayDivisor = 10
	floodDelayDivisor   = 3

	votePollInterval = 50 * time.Millisecond

	loadSeed         = 1
	floodSeed        = 99
	stageSeedSpacing = 100 // distance between the seeds of two stages, so that no two endpoints share a seed
)

// releaseStage is a stage of the demo's release.
type releaseStage struct {
	newEndpoints int // endpoints of the new build that the stage adds
	trafficCap   float64
}

var releaseStages = []releaseStage{{2, 0.2}, {4, 0.6}, {6, 1}}

// demo shows the agent at work under load while a new build is released.
type demo struct {
	out     io.Writer
	program string
	flood   string // the tenant that sends floodFactor times its share; empty: none
	isBad   bool   // the new build fails a part of its requests
	length  time.Duration

	testbed      *testbed
	clients      *fakes.Clients
	releaseState atomic.Value // the displayed state of the release, a string
}

func newDemoCommand() *cobra.Command {
	var d demo
	c := &cobra.Command{
		Use:   "demo",
		Short: "Show the agent at work on loopback while a build is released",
		Long: "Start the agent on loopback among fakes of its endpoints, service discovery and the rollout controller, send a modest load while a new\n" +
			"build is released, and show the outcome of the requests.",
		Args: noArguments,
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
	c.Flags().StringVar(&d.flood, "flood", "", "tenant that sends twenty times its share after a third of the time")
	c.Flags().BoolVar(&d.isBad, "bad-release", false, "let the new build fail a third of its requests")
	c.Flags().DurationVar(&d.length, "for", defaultDemoLength, "length of the demo, 5s to 10m")
	c.Flags().StringVar(&d.program, "agent", "", "path of the agent's program; built from this tree if empty")
	return c
}

func (d *demo) run() error {
	printf(d.out, "building and starting the agent among fakes on loopback ...\n")
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
	loadDone := runInBackground(func() { d.clients.Send(ctx, loadSeed, testbedClients()...) })
	if d.flood != "" {
		go d.sendFlood(ctx)
	}
	releaseDone := runInBackground(func() { d.release(ctx) })
	display := newDemoDisplay(d)
	display.run(loadDone)
	stop()
	<-releaseDone
	display.printSummary()
	return nil
}

// sendFlood waits for the start of the flood, and then sends the extra load of the flooding tenant.
func (d *demo) sendFlood(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(d.length / floodDelayDivisor):
		share := tenantShares[slices.Index(tenantNames, d.flood)]
		extra := (floodFactor - 1) * testbedLoad * share
		d.clients.Send(ctx, floodSeed, fakes.ClientGroup{Tenant: d.flood, Rate: extra, PostShare: testbedPostShare})
	}
}

// release takes the new build from stage to stage, as long as the agent approves the build.
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
	d.releaseState.Store(fmt.Sprintf("build %d in stage %d, traffic cap %.0f%%", demoNewBuild, number, 100*stage.trafficCap))
	return nil
}

// awaitApproval waits for the agent's vote on a stage and reports whether the agent approves. If the agent rejects the build,
// the build is rolled back.
func (d *demo) awaitApproval(ctx context.Context, stage int) bool {
	deployment := d.testbed.deployment
	for deployment.Votes("approve") == 0 {
		if deployment.Votes("reject") > 0 {
			deployment.UpdateRollout(demoNewBuild, stage, "recalled", 0)
			d.releaseState.Store(fmt.Sprintf("build %d rolled back at stage %d", demoNewBuild, stage))
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
