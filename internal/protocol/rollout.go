package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"switchfork/internal/policy"
)

// maxAgeMs bounds the age of a rollout update, in milliseconds.
const maxAgeMs = 1e12

// rolloutStatus is the state of the newest build's rollout, in any of the three forms that the rollout controller writes.
type rolloutStatus struct {
	Build int     `json:"image" xml:"image"`
	Stage int     `json:"ring" xml:"ring"`
	Phase string  `json:"progress" xml:"progress"`
	Cap   float64 `json:"ceiling" xml:"ceiling"`
	AgeMs float64 `json:"lag_ms" xml:"lag_ms"`
}

// phases has the policy's phase for each phase that the rollout controller knows.
var phases = map[string]policy.Phase{
	"testing":   policy.Evaluating,
	"recalling": policy.RollingBack,
	"live":      policy.Released,
	"recalled":  policy.RolledBack,
}

// String has the rollout controller's names of the fields, by which an operator finds them.
func (s rolloutStatus) String() string {
	return fmt.Sprintf("{Image:%d Ring:%d Progress:%s Ceiling:%v LagMs:%v}", s.Build, s.Stage, s.Phase, s.Cap, s.AgeMs)
}

// update converts a status to the policy's form.
func (s rolloutStatus) update() (policy.RolloutUpdate, error) {
	phase, isKnown := phases[s.Phase]
	hasValidBuild := s.Build >= 0 && s.Stage >= 0
	hasValidCap := s.Cap >= 0 && s.Cap <= 1
	hasValidAge := s.AgeMs >= 0 && s.AgeMs < maxAgeMs
	isValid := isKnown && hasValidBuild && hasValidCap && hasValidAge
	if !isValid {
		return policy.RolloutUpdate{}, fmt.Errorf("rollout status out of range: %v", s)
	}
	return policy.RolloutUpdate{
		Build: s.Build,
		Stage: s.Stage,
		Phase: phase,
		Cap:   s.Cap,
		Age:   policy.Micros(s.AgeMs * microsPerMilli),
	}, nil
}

// ReadRolloutJSON reads a rollout update in JSON. Its errors of malformed JSON are those of encoding/json: callers say where it came from.
func ReadRolloutJSON(raw []byte) (policy.RolloutUpdate, error) {
	var status rolloutStatus
	if err := json.Unmarshal(raw, &status); err != nil {
		return policy.RolloutUpdate{}, err
	}
	return status.update()
}

// ReadRolloutForm reads a rollout update from an event's data line, which is a URL-encoded form.
func ReadRolloutForm(data string) (policy.RolloutUpdate, error) {
	form, err := url.ParseQuery(data)
	if err != nil {
		return policy.RolloutUpdate{}, fmt.Errorf("parsing a rollout form: %w", err)
	}
	status := rolloutStatus{Phase: form.Get("progress")}
	var errs [4]error
	status.Build, errs[0] = parseField(form, "image", strconv.Atoi)
	status.Stage, errs[1] = parseField(form, "ring", strconv.Atoi)
	status.Cap, errs[2] = parseField(form, "ceiling", parseFloat)
	status.AgeMs, errs[3] = parseField(form, "lag_ms", parseFloat)
	if err := errors.Join(errs[:]...); err != nil {
		return policy.RolloutUpdate{}, err
	}
	return status.update()
}

// parseField parses one field of a form. Its error names the field.
func parseField[T any](form url.Values, name string, parse func(string) (T, error)) (T, error) {
	value, err := parse(form.Get(name))
	if err != nil {
		return value, fmt.Errorf("rollout form field %s: %w", name, err)
	}
	return value, nil
}

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
