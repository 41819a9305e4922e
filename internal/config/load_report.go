package config

import "switchfork/internal/policy"

// Words for how load reports come. The simulator's files and the operators' ones use different words for the same.
const (
	loadReportsInline          = "inline"
	loadReportsAnswers         = "answers"
	loadReportsOnHealthCheck   = "on_probe"
	loadReportsWithHealthCheck = "probe"
	loadReportsOff             = "off"
	loadReportsNone            = "none"
)

// hasLoadReports reports whether answers carry load reports; an absent key means that they don't.
func (s *Settings) hasLoadReports() bool {
	return s.isSet(keyLoadReportMode) && enum(s.keyValues, keyLoadReportMode, map[string]bool{
		loadReportsInline:          true,
		loadReportsAnswers:         true,
		loadReportsOnHealthCheck:   false,
		loadReportsWithHealthCheck: false,
		loadReportsOff:             false,
		loadReportsNone:            false,
	})
}

// loadReportFormat returns the positions of the figures that the router reads, under the simulator's names or the
// operators' ones. Other figures are skipped.
func (s *Settings) loadReportFormat() policy.LoadReportFormat {
	var format policy.LoadReportFormat
	if !s.hasLoadReports() {
		return format
	}
	for i, field := range s.textList(keyLoadReportFields) {
		position := i + 1
		switch field {
		case "utilization", "util":
			format.Utilization = position
		case "throughput", "qps":
			format.Rate = position
		case "outstanding", "inflight":
			format.InFlight = position
		}
	}
	return format
}

// hasWeights reports whether the endpoint list gives endpoints' weights. It does where the key is absent.
func (s *Settings) hasWeights() bool {
	return !s.isSet(keyWeights) || enum(s.keyValues, keyWeights, map[string]bool{
		"off":     false,
		"none":    false,
		"nominal": true,
		"rough":   true,
		"live":    true,
	})
}
