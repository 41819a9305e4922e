package config

import "switchfork/internal/policy"

// Ways in which endpoints send load reports: with their answers, with their responses to health checks, or not at all. Each
// way has two names, one in the simulator's files and one in the operators' files.
const (
	loadReportsInline          = "inline"
	loadReportsAnswers         = "answers"
	loadReportsOnHealthCheck   = "on_probe"
	loadReportsWithHealthCheck = "probe"
	loadReportsOff             = "off"
	loadReportsNone            = "none"
)

// hasLoadReports reports whether endpoints send load reports with their answers. If the key is absent, endpoints send none.
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

// loadReportFormat returns the positions of the load report fields that the router reads, and skips all other fields. The
// simulator's files and the operators' files have different names for the same field.
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

// hasWeights reports whether the endpoint list holds the endpoints' weights. If the key is absent, the list holds them.
func (s *Settings) hasWeights() bool {
	return !s.isSet(keyWeights) || enum(s.keyValues, keyWeights, map[string]bool{
		"off":     false,
		"none":    false,
		"nominal": true,
		"rough":   true,
		"live":    true,
	})
}
