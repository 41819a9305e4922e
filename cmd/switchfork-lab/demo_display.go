package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/term"
)

const (
	// plainOutputSeconds is the time between two printed states if the output is not a terminal.
	plainOutputSeconds = 5
	// clearLines moves the cursor up by a number of lines and clears the screen below.
	clearLines = "\033[%dA\033[J"
)

// demoDisplay prints a demo's state while it runs, and its summary.
type demoDisplay struct {
	*demo
	startedAt    time.Time
	isTerminal   bool
	printedLines int
}

func newDemoDisplay(d *demo) *demoDisplay {
	file, isFile := d.out.(*os.File)
	return &demoDisplay{demo: d, startedAt: time.Now(), isTerminal: isFile && term.IsTerminal(int(file.Fd()))}
}

// run prints the state until the load has ended. On a terminal it replaces the printed state each second. Otherwise it prints
// the state every plainOutputSeconds.
func (d *demoDisplay) run(loadDone <-chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-loadDone:
			d.printState(true)
			return
		case <-ticker.C:
			d.printState(false)
		}
	}
}

func (d *demoDisplay) printState(isLast bool) {
	lines := d.stateLines()
	if d.isTerminal && d.printedLines > 0 {
		printf(d.out, clearLines, d.printedLines)
	}
	if d.isTerminal || isLast || int(time.Since(d.startedAt).Seconds())%plainOutputSeconds == 0 {
		printf(d.out, "%s\n", strings.Join(lines, "\n"))
	}
	d.printedLines = len(lines)
}

func (d *demoDisplay) stateLines() []string {
	memoryMB, descriptors := d.testbed.agent.Usage()
	lines := []string{fmt.Sprintf("%3.0f s of %.0f  %s  agent %.0f MB, %d descriptors",
		time.Since(d.startedAt).Seconds(), d.length.Seconds(), d.releaseState.Load(), memoryMB, descriptors)}
	for _, name := range tenantNames {
		totals := d.clients.Totals(name)
		lines = append(lines, fmt.Sprintf("  %-12s offered %6d  succeeded %6d (in time %3.0f%%)  rejected %5d  failed %4d  returned %5d",
			name, totals.Offered, totals.Succeeded, 100*float64(totals.InTime)/max(1, float64(totals.Offered)),
			totals.Rejected, totals.Failed, totals.Retries))
	}
	return append(lines, fmt.Sprintf("  succeeded at build %d: %d, at build %d: %d; failed attempts in the log: %d",
		testbedBuild, d.succeededAt(testbedBuild), demoNewBuild, d.succeededAt(demoNewBuild), d.loggedFailures()))
}

// succeededAt returns how many requests of all tenants together succeeded at a build.
func (d *demoDisplay) succeededAt(build int) (total int) {
	for _, name := range tenantNames {
		total += d.clients.Totals(name).Builds[strconv.Itoa(build)]
	}
	return total
}

// loggedFailures returns the number of failed attempts in the agent's log.
func (d *demoDisplay) loggedFailures() (total int) {
	for _, entry := range d.testbed.log.entries("attempt failed") {
		if entry.AttemptResult != nil {
			total++
		}
	}
	return total
}

func (d *demoDisplay) printSummary() {
	succeeded, offered := 0, 0
	for _, name := range tenantNames {
		totals := d.clients.Totals(name)
		succeeded += totals.Succeeded
		offered += totals.Offered
	}
	printf(d.out, "\n%d of %d requests succeeded, half of them within %v, 99 in 100 within %v; %s\n", succeeded, offered,
		d.clients.LatencyPercentile(50).Round(time.Millisecond), d.clients.LatencyPercentile(99).Round(time.Millisecond), d.releaseState.Load())
}
