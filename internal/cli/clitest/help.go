// Package clitest checks the command lines of the programs in their tests.
package clitest

import (
	"bytes"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// withdrawnWords were once the programs' own words for what the field has terms for. No help text uses them.
var withdrawnWords = []string{
	"txns?", "submissions?", "appliances?", "products?", "rosters?", "launchers?", "stand-?ins?", "deciders?", "doors?", "lead", "leads", "nights?", "trials?",
	"ways?", "standstills?", "settled", "declined", "voided", "yielded", "judges?", "bench", "benches", "seats?", "tranches", "waves?", "lanes?", "crowds?",
	"told", "kept", "bars?", "come-back", "same-answer", "days?",
}

var withdrawn = regexp.MustCompile(`(?i)\b(` + strings.Join(withdrawnWords, "|") + `)\b`)

// withdrawnWord returns the first withdrawn word of a line, or nothing.
func withdrawnWord(line string) string { return withdrawn.FindString(line) }

// CheckHelp checks the help of a command and of all that it holds for withdrawn words.
func CheckHelp(t *testing.T, command *cobra.Command) {
	t.Helper()
	if command.Hidden {
		return
	}
	var out bytes.Buffer
	command.SetOut(&out)
	if err := command.Help(); err != nil {
		t.Errorf("help of %s: %v", command.CommandPath(), err)
	}
	for _, line := range strings.Split(out.String(), "\n") {
		if word := withdrawnWord(line); word != "" {
			t.Errorf("the help of %s holds the withdrawn word %q: %s", command.CommandPath(), word, line)
		}
	}
	for _, sub := range command.Commands() {
		CheckHelp(t, sub)
	}
}
