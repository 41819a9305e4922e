package main

import (
	"context"
	"os"
	"testing"
	"time"

	"switchfork/internal/fakes"
)

// The real agent gets more load than its endpoints can serve. When the endpoints become five times slower, the concurrency limit
// falls, so that admitted requests still succeed. It rises again when the endpoints have recovered.
func TestConcurrencyLimitFollowsSlowEndpoints(t *testing.T) {
	if os.Getenv("SWITCHFORK_LONG") == "" {
		t.Skip("takes a minute and a machine that is not busy with other tests: set SWITCHFORK_LONG=1")
	}
	bed, err := startTestbed("", operatorWithAdmission)
	if err != nil {
		t.Fatal(err)
	}
	defer bed.close()
	setSlowdown := func(factor float64) {
		for _, endpoint := range bed.deployment.Endpoints() {
			endpoint.SetSlowdown(factor)
		}
	}
	setSlowdown(2)
	ctx, stop := context.WithCancel(t.Context())
	clients := bed.newClients()
	done := make(chan struct{})
	go func() {
		clients.Send(ctx, 1,
			fakes.ClientGroup{Tenant: tenantNames[0], Rate: 450, PostShare: testbedPostShare},
			fakes.ClientGroup{Tenant: tenantNames[1], Rate: 450, PostShare: testbedPostShare})
		close(done)
	}()
	defer func() { stop(); <-done }()
	// awaitEntries waits for the given number of further admission lines in the log, and returns the last one.
	seen := len(bed.log.entries("admission"))
	awaitEntries := func(more int) logEntry {
		for end := time.Now().Add(time.Duration(more) * 15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if entries := bed.log.entries("admission"); len(entries) >= seen+more {
				seen = len(entries)
				last := entries[len(entries)-1]
				t.Logf("limit %.0f, succeeded %.0f, rejected after admission %.0f", last.ConcurrencyLimit, last.Succeeded, last.Rejected)
				return last
			}
			if time.Now().After(end) {
				t.Fatalf("the admission lines are missing in the log:\n%s", bed.log.String())
			}
		}
	}
	before := awaitEntries(1)
	setSlowdown(10)
	awaitEntries(1)
	slow := awaitEntries(1)
	setSlowdown(2)
	awaitEntries(1)
	after := awaitEntries(1)
	if slow.ConcurrencyLimit > 0.7*before.ConcurrencyLimit || after.ConcurrencyLimit < 1.4*slow.ConcurrencyLimit {
		t.Errorf("concurrency limit: got %.0f before, %.0f while slow, %.0f after, want while slow at most 0.7 times the first, and after at least 1.4 times the second", before.ConcurrencyLimit, slow.ConcurrencyLimit, after.ConcurrencyLimit)
	}
	// At a fifth of the speed, at most a fifth of the requests can succeed. The router without admission control, whose answers then
	// come late, serves about half of these requests. Admission control must not serve far fewer than that (docs/ROADMAP.md).
	if slow.Succeeded < before.Succeeded/25 || after.Succeeded < 0.7*before.Succeeded {
		t.Errorf("requests succeeded in ten seconds: got %.0f before, %.0f while slow, %.0f after, want while slow at least a 25th of the first, and after at least 0.7 times the first", before.Succeeded, slow.Succeeded, after.Succeeded)
	}
	if slow.Rejected > 0.3*slow.Succeeded {
		t.Errorf("while slow: %.0f admitted requests were rejected and %.0f succeeded, want at most 0.3 rejected for each that succeeded", slow.Rejected, slow.Succeeded)
	}
}
