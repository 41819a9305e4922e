package options

import (
	"errors"
	"strings"
	"testing"
)

// checkFaults parses a text with errors and compares the beginnings of their messages with the expected ones.
func checkFaults(t *testing.T, text string, expected []string) {
	t.Helper()
	_, err := Parse("op.conf", strings.NewReader(text))
	var faults FileErrors
	if !errors.As(err, &faults) {
		t.Fatalf("got error %v, want a FileErrors", err)
	}
	if len(faults) != len(expected) {
		t.Errorf("got %d errors, want %d: %v", len(faults), len(expected), faults)
	}
	for i, want := range expected {
		if i >= len(faults) || !strings.HasPrefix(faults[i].Error(), want) {
			t.Errorf("error %d of %v: want one that begins with %s", i, faults, want)
		}
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	checkFaults(t, `# a file with everything wrong
admission-control onn
admision-control on
admission-queues 0
tenant beqa 3
log-level loud   # a comment
admission-bytes 12
log-form "text
retry-after on
retry-after off
admission-client header
zzzzqqq 1
coalesce-requests
`, []string{
		`op.conf:2: admission-control: is "onn", expected on or off`,
		`op.conf:3: admision-control: unknown keyword, the most similar one is admission-control`,
		`op.conf:4: admission-queues: is "0", expected a whole number, 1 to 65536`,
		`op.conf:5: tenant: is "beqa 3", expected a name, the word share and a weight`,
		`op.conf:6: log-level: is "loud", expected one of debug, info, warn, error`,
		`op.conf:7: admission-bytes: is "12", expected a size such as 512KiB or 8MiB, or auto`,
		`op.conf:8: unterminated quote`,
		`op.conf:10: retry-after: is already on line 9`,
		`op.conf:11: admission-client: is "header", expected address, connection, or header and a name`,
		`op.conf:12: zzzzqqq: unknown keyword, expected one of`,
		`op.conf:13: coalesce-requests: has 0 values, expected on|off`,
	})
}

// The errors of a file with old keywords contain the names that are written in the file.
func TestParseReportsAllFaultsOfOldKeywords(t *testing.T) {
	checkFaults(t, `# a file with everything wrong
door onn
dor on
door-queues 0
tenant beqa 3
log-level loud   # a comment
door-bytes 12
log-form "text
come-back on
come-back off
door-client header
zzzzqqq 1
same-answer
`, []string{
		`op.conf:2: door: is "onn", expected on or off`,
		`op.conf:3: dor: unknown keyword, the most similar one is admission-control`,
		`op.conf:4: door-queues: is "0", expected a whole number, 1 to 65536`,
		`op.conf:5: tenant: is "beqa 3", expected a name, the word share and a weight`,
		`op.conf:6: log-level: is "loud", expected one of debug, info, warn, error`,
		`op.conf:7: door-bytes: is "12", expected a size such as 512KiB or 8MiB, or auto`,
		`op.conf:8: unterminated quote`,
		`op.conf:10: come-back: is already on line 9`,
		`op.conf:11: door-client: is "header", expected address, connection, or header and a name`,
		`op.conf:12: zzzzqqq: unknown keyword, expected one of`,
		`op.conf:13: same-answer: has 0 values, expected on|off`,
	})
}

func TestParseReportsAgentsAndLeases(t *testing.T) {
	for line, want := range map[string]string{
		"replica-id 64":           `replica-id: is "64", expected 0 to 63, or auto`,
		"election-lease 100ms":    `election-lease: is "100ms", expected a time from 200ms to 1m`,
		"election-peer 3 nohost":  `election-peer: is "3 nohost", expected an agent's number from 0 to 63, and its host and port`,
		"state-folder here":       `state-folder: is "here", expected the absolute path of a folder, or none`,
		"admission-requests many": `admission-requests: is "many", expected a whole number, 1 to 1000000, or auto`,
		"decider-me 64":           `decider-me: is "64", expected 0 to 63, or auto`,
		"decider-lease 100ms":     `decider-lease: is "100ms", expected a time from 200ms to 1m`,
		"decider-peer 3 nohost":   `decider-peer: is "3 nohost", expected an agent's number from 0 to 63, and its host and port`,
		"decider-state here":      `decider-state: is "here", expected the absolute path of a folder, or none`,
		"door-txns many":          `door-txns: is "many", expected a whole number, 1 to 1000000, or auto`,
		"tenant beqa share -1":    `tenant: has the weight "-1", expected a number above 0, up to 1e6`,
	} {
		if _, err := Parse("op.conf", strings.NewReader(line)); err == nil || err.Error() != "op.conf:1: "+want {
			t.Errorf("%s: got error %v, want %s", line, err, want)
		}
	}
}
