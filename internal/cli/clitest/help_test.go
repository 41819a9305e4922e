package clitest

import "testing"

// Withdrawn words are found in upper and lower case, but not as parts of other words.
func TestWithdrawnWord(t *testing.T) {
	for line, want := range map[string]string{
		"play nights: several agents among stand-ins": "nights",
		"a decider's state folder":                    "decider",
		"Txn router":                                  "Txn",
		"print the leader's lease; always verdicts":   "",
	} {
		if got := withdrawnWord(line); got != want {
			t.Errorf("%q: got the withdrawn word %q, want %q", line, got, want)
		}
	}
}
