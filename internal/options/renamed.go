package options

import "fmt"

// currentNames maps the old names of renamed keywords to their current names. Files with old names are still accepted.
var currentNames = map[string]string{
	"door":           "admission-control",
	"door-queues":    "admission-queues",
	"door-txns":      "admission-requests",
	"door-bytes":     "admission-bytes",
	"door-client":    "admission-client",
	"come-back":      "retry-after",
	"same-answer":    "coalesce-requests",
	"decider":        "leader-election",
	"decider-group":  "election-group",
	"decider-lease":  "election-lease",
	"decider-listen": "election-listen",
	"decider-me":     "replica-id",
	"decider-peer":   "election-peer",
	"decider-state":  "state-folder",
}

// currentName returns the current name of a keyword. Any name that is not an old one is returned unchanged.
func currentName(written string) string {
	if current, isOld := currentNames[written]; isOld {
		return current
	}
	return written
}

// RenamedKeyword is an old keyword in a file, with the line of its first occurrence.
type RenamedKeyword struct {
	Path    string
	Line    int
	Written string
	Current string
}

func (k RenamedKeyword) String() string {
	return fmt.Sprintf("%s:%d: %s: this keyword is called %s now", k.Path, k.Line, k.Written, k.Current)
}
