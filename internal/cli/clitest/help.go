// Package clitest holds checks of command lines for the programs' tests.
package clitest

import (
	"bytes"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// withdrawnWords are regular expressions of words that the programs once used in place of common technical terms. Help texts
// must not use them.
var withdrawnWords = []string{
	"txns?", "submissions?", "appliances?", "products?", "rosters?", "launchers?", "stand-?ins?", "deciders?", "doors?", "lead", "leads", "nights?", "trials?",
	"ways?", "standstills?", "settled", "declined", "voided", "yielded", "judges?", "bench", "benches", "seats?", "tranches", "waves?", "lanes?", "crowds?",
	"told", "kept", "bars?", "come-back", "same-answer", "days?",
}

var withdrawn = regexp.MustCompile(`(?i)\b(` + strings.Join(withdrawnWords, "|") + `)\b`)

// withdrawnWord returns the first withdrawn word in a line, or an empty string.
func withdrawnWord(line string) string { return withdrawn.FindString(line) }

// CheckHelp fails the test if the help of a command or of any of its subcommands contains a withdrawn word. Hidden commands are
// skipped.
func CheckHelp(t *testing.T, command *cobra.Command) {
	t.Helper()
	if command.Hidden {
		return
	}
	var out bytes.Buffer
	command.SetOut(&out)
	if err := command.Help(); err != nil {
		t.Errorf("printing the help of %s: %v", command.CommandPath(), err)
	}
	for _, line := range strings.Split(out.String(), "\n") {
		if word := withdrawnWord(line); word != "" {
			t.Errorf("the help of %s contains the withdrawn word %q: %s", command.CommandPath(), word, line)
		}
	}
	for _, sub := range command.Commands() {
		CheckHelp(t, sub)
	}
}
