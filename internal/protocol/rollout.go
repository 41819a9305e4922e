package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"switchfork/internal/policy"
)

// maxAgeMs is the exclusive upper limit of a rollout update's age, in milliseconds.
const maxAgeMs = 1e12

// rolloutStatus is the state of the newest build's rollout. The rollout controller writes it as JSON, as XML or as a URL-encoded form.
type rolloutStatus struct {
	Build int     `json:"image" xml:"image"`
	Stage int     `json:"ring" xml:"ring"`
	Phase string  `json:"progress" xml:"progress"`
	Cap   float64 `json:"ceiling" xml:"ceiling"`
	AgeMs float64 `json:"lag_ms" xml:"lag_ms"`
}

// phases maps each phase name of the rollout controller to the policy's phase.
var phases = map[string]policy.Phase{
	"testing":   policy.Evaluating,
	"recalling": policy.RollingBack,
	"live":      policy.Released,
	"recalled":  policy.RolledBack,
}

// String formats the status with the rollout controller's field names, which are the names that operators know.
func (s rolloutStatus) String() string {
	return fmt.Sprintf("{Image:%d Ring:%d Progress:%s Ceiling:%v LagMs:%v}", s.Build, s.Stage, s.Phase, s.Cap, s.AgeMs)
}

// update converts a status to a policy.RolloutUpdate. It returns an error if a field is out of range.
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

// ReadRolloutJSON decodes a rollout update from JSON. For malformed JSON it returns the error of encoding/json as it is; the caller adds
// where the JSON came from.
func ReadRolloutJSON(raw []byte) (policy.RolloutUpdate, error) {
	var status rolloutStatus
	if err := json.Unmarshal(raw, &status); err != nil {
		return policy.RolloutUpdate{}, err
	}
	return status.update()
}

// ReadRolloutForm decodes a rollout update from the data of an event, which is a URL-encoded form.
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

// parseField parses one field of a form. The error it returns names the field.
func parseField[T any](form url.Values, name string, parse func(string) (T, error)) (T, error) {
	value, err := parse(form.Get(name))
	if err != nil {
		return value, fmt.Errorf("rollout form field %s: %w", name, err)
	}
	return value, nil
}

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
