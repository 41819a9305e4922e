package faulttest

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"switchfork/internal/proxy"
)

// LineResult is the result of checking one line of a scenario.
type LineResult struct {
	Number   int    `json:"line"`
	Text     string `json:"text"`
	Passed   bool   `json:"passed"`
	Observed string `json:"observed"`
}

// Verdict is the result of a run.
type Verdict struct {
	Scenario   string       `json:"scenario"`
	Seed       int64        `json:"seed"`
	Passed     bool         `json:"passed"`
	Error      string       `json:"error,omitempty"` // reason for a failure that is not in Lines, Violations or Mismatches
	Lines      []LineResult `json:"lines"`
	Violations []string     `json:"violations,omitempty"`
	Mismatches []string     `json:"mismatches,omitempty"` // differences between the records of servers and relays
	Requests   int          `json:"requests"`
	TookMS     int64        `json:"took_ms"`
	Folder     string       `json:"folder,omitempty"`
}

// Failures returns the reasons why a run failed, one line for each.
func (v *Verdict) Failures() (out []string) {
	if v.Error != "" {
		out = append(out, v.Error)
	}
	for _, l := range v.Lines {
		if !l.Passed {
			out = append(out, fmt.Sprintf("%s:%d: %s: observed %s", v.Scenario, l.Number, l.Text, l.Observed))
		}
	}
	for _, violation := range v.Violations {
		out = append(out, fmt.Sprintf("%s: %s", v.Scenario, violation))
	}
	for _, mismatch := range v.Mismatches {
		out = append(out, fmt.Sprintf("%s: records differ: %s", v.Scenario, mismatch))
	}
	return out
}

func (v *Verdict) hasFailedLine() bool {
	return slices.ContainsFunc(v.Lines, func(l LineResult) bool { return !l.Passed })
}

func (v *Verdict) addError(text string) { v.Error = strings.TrimSpace(v.Error + " " + text) }

// fillVerdict checks the expectations and the rules against the records. If a fault had no effect, its line is reported as failed, since
// the scenario then does not test what it claims to.
func (r *runner) fillVerdict(v *Verdict, records *Records, err error) {
	v.Requests = len(records.Requests)
	var failed *stepError
	if errors.As(err, &failed) {
		v.Lines = append(v.Lines, LineResult{failed.step.Line, failed.step.Text, false, failed.Error()})
	} else if err != nil {
		v.Error = err.Error()
	}
	for _, record := range r.faults.records {
		passed := record.hits > 0 || err != nil
		v.Lines = append(v.Lines, LineResult{record.step.Line, record.step.Text, passed, fmt.Sprintf("the fault took effect %d times", record.hits)})
	}
	if err == nil {
		v.Lines = append(v.Lines, r.checkExpectations(records)...)
	}
	if n := r.clients.records.droppedRequests.Load(); n > 0 {
		v.addError(fmt.Sprintf("%s: the clients had no free connection for %d requests: the load exceeds what they can send", r.scenario.File, n))
	}
	for _, a := range r.agents.all {
		if n := strings.Count(a.log.String(), proxy.NoReplyMessage); n > 0 {
			v.addError(fmt.Sprintf("%s: the event loop of agent %d has left %d requests without a reply", r.scenario.File, a.number, n))
		}
	}
	for _, violation := range CheckRules(records) {
		v.Violations = append(v.Violations, violation.String())
	}
}

func (r *runner) checkExpectations(records *Records) (out []LineResult) {
	for _, e := range r.scenario.Expectations {
		in := timeRange{r.bindings.startTime(), records.End}
		if e.From != nil {
			in.from = r.bindings.resolveTime(*e.From)
		}
		if e.To != nil {
			in.to = r.bindings.resolveTime(*e.To)
		}
		passed, observed := e.evaluate(records, r.bindings.agentFilter(e.measure.Agents), in)
		out = append(out, LineResult{e.Line, e.Text, passed, observed})
	}
	return out
}
