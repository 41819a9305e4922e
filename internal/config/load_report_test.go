package config

import (
	"testing"

	"switchfork/internal/policy"
)

// The simulator's pairs and an agent's file use different words for the same modes and fields. Both are accepted.
func TestLoadReportFormat(t *testing.T) {
	file, err := parseJSON("config.settings", []byte(`{"Feedback":{"How":"answers","Fields":["util","heat","qps"]},"Weights":"none"}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name       string
		settings   *Settings
		want       policy.LoadReportFormat
		hasWeights bool
	}{
		{"file", file, policy.LoadReportFormat{Utilization: 1, Rate: 3}, false},
		{
			"pairs", ParsePairs("Feedback.How=inline\nFeedback.Fields=outstanding\nWeights=nominal\n"),
			policy.LoadReportFormat{InFlight: 1},
			true,
		},
		{"not with answers", ParsePairs("Feedback.How=on_probe\nFeedback.Fields=backlog\n"), policy.LoadReportFormat{}, true},
	} {
		format, hasWeights := test.settings.loadReportFormat(), test.settings.hasWeights()
		if format != test.want || hasWeights != test.hasWeights || test.settings.Err() != nil {
			t.Errorf("%s: got format %+v, weights %v, error %v", test.name, format, hasWeights, test.settings.Err())
		}
	}
}
