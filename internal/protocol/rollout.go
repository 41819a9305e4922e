package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"switchfork/internal/policy"
)

// maxLagMs bounds the age of a rollout update, in milliseconds.
const maxLagMs = 1e12

// rolloutStatus is the state of the newest build's rollout, in any of the three forms that the rollout controller writes.
type rolloutStatus struct {
	Image    int     `json:"image" xml:"image"`
	Ring     int     `json:"ring" xml:"ring"`
	Progress string  `json:"progress" xml:"progress"`
	Ceiling  float64 `json:"ceiling" xml:"ceiling"`
	LagMs    float64 `json:"lag_ms" xml:"lag_ms"`
}

// phases has the policy's phase for each progress that the rollout controller knows.
var phases = map[string]policy.Phase{
	"testing":   policy.Evaluating,
	"recalling": policy.RollingBack,
	"live":      policy.Released,
	"recalled":  policy.RolledBack,
}

// update converts a status to the policy's form.
func (s rolloutStatus) update() (policy.RolloutUpdate, error) {
	phase, isKnown := phases[s.Progress]
	hasValidCeiling := s.Ceiling >= 0 && s.Ceiling <= 1
	hasValidLag := s.LagMs >= 0 && s.LagMs < maxLagMs
	if !isKnown || s.Image < 0 || s.Ring < 0 || !hasValidCeiling || !hasValidLag {
		return policy.RolloutUpdate{}, fmt.Errorf("rollout status out of range: %+v", s)
	}
	return policy.RolloutUpdate{
		Build: s.Image,
		Stage: s.Ring,
		Phase: phase,
		Cap:   s.Ceiling,
		Age:   policy.Micros(s.LagMs * microsPerMilli),
	}, nil
}

// ReadRolloutJSON reads a rollout update in JSON.
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
		return policy.RolloutUpdate{}, err
	}
	status := rolloutStatus{Progress: form.Get("progress")}
	var errs [4]error
	status.Image, errs[0] = strconv.Atoi(form.Get("image"))
	status.Ring, errs[1] = strconv.Atoi(form.Get("ring"))
	status.Ceiling, errs[2] = strconv.ParseFloat(form.Get("ceiling"), 64)
	status.LagMs, errs[3] = strconv.ParseFloat(form.Get("lag_ms"), 64)
	if err := errors.Join(errs[:]...); err != nil {
		return policy.RolloutUpdate{}, err
	}
	return status.update()
}
