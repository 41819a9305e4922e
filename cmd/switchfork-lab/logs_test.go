package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The check of the vote rate fails if many agents vote in the same second, and passes if the same votes are spread out.
func TestLogsCheckVoteRate(t *testing.T) {
	for spacing, shouldFail := range map[time.Duration]bool{0: true, time.Second: false} {
		folder := t.TempDir()
		for agent := range 20 {
			at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).Add(time.Duration(agent) * spacing)
			entry := fmt.Sprintf("time=%s level=INFO msg=\"vote cast\" build=2 stage=0 verdict=approve result=succeeded elapsed_ms=0\n", at.Format(time.RFC3339Nano))
			if err := os.WriteFile(filepath.Join(folder, fmt.Sprintf("n%d.log", agent)), []byte(entry), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		var out bytes.Buffer
		err := reportLogs(&out, folder, logsOptions{interval: 5 * time.Second, maxEndpoints: 3, voteRate: 16})
		if shouldFail != (err != nil) || !strings.Contains(out.String(), "build 2 stage 0 approve: succeeded") {
			t.Errorf("votes %v apart: got error %v, want one only for 0s, and the votes in the report:\n%s", spacing, err, out.String())
		}
	}
	var wrong usageError
	if err := reportLogs(&bytes.Buffer{}, t.TempDir(), logsOptions{interval: time.Second, maxEndpoints: 3}); !errors.As(err, &wrong) {
		t.Errorf("an empty folder: got error %v, want a usage error", err)
	}
}
