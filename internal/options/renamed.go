package options

import "fmt"

// currentNames holds what each renamed keyword is called now, by its old name. Files with old names are still read.
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

// currentName returns what a keyword is called now. It returns the names of unknown keywords as they are.
func currentName(written string) string {
	if current, isOld := currentNames[written]; isOld {
		return current
	}
	return written
}

// RenamedKeyword is an old keyword of a file, with the line on which it stands first.
type RenamedKeyword struct {
	Path    string
	Line    int
	Written string
	Current string
}

func (k RenamedKeyword) String() string {
	return fmt.Sprintf("%s:%d: %s: this keyword is called %s now", k.Path, k.Line, k.Written, k.Current)
}
