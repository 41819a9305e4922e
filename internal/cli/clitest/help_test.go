package clitest

import "testing"

// Words are found whole, in either case, and as parts of no other word.
func TestWithdrawnWord(t *testing.T) {
	for line, want := range map[string]string{
		"play nights: several agents among stand-ins": "nights",
		"a decider's state folder":                    "decider",
		"Txn router":                                  "Txn",
		"print the leader's lease; always verdicts":   "",
	} {
		if got := withdrawnWord(line); got != want {
			t.Errorf("%q holds %q, want %q", line, got, want)
		}
	}
}
