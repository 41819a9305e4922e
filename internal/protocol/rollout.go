package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"switchfork/internal/policy"
)

// rolloutStatus is where the newest build stands, in any of the launcher's three forms.
type rolloutStatus struct {
	Image    int     `json:"image" xml:"image"`
	Ring     int     `json:"ring" xml:"ring"`
	Progress string  `json:"progress" xml:"progress"`
	Ceiling  float64 `json:"ceiling" xml:"ceiling"`
	LagMs    float64 `json:"lag_ms" xml:"lag_ms"`
}

var phases = map[string]policy.Phase{
	"testing": policy.Evaluating, "recalling": policy.RollingBack,
	"live": policy.Released, "recalled": policy.RolledBack,
}

func (n rolloutStatus) update() (policy.RolloutUpdate, error) {
	phase, known := phases[n.Progress]
	if !known || n.Image < 0 || n.Ring < 0 || !(n.Ceiling >= 0 && n.Ceiling <= 1) || !(n.LagMs >= 0 && n.LagMs < 1e12) {
		return policy.RolloutUpdate{}, fmt.Errorf("news that makes no sense: %+v", n)
	}
	return policy.RolloutUpdate{
		Build: n.Image, Stage: n.Ring, Phase: phase, Cap: n.Ceiling,
		Age: policy.Micros(n.LagMs * 1000),
	}, nil
}

func ReadRolloutJSON(raw []byte) (policy.RolloutUpdate, error) {
	var n rolloutStatus
	if err := json.Unmarshal(raw, &n); err != nil {
		return policy.RolloutUpdate{}, err
	}
	return n.update()
}

// ReadRolloutForm reads an event's data line.
func ReadRolloutForm(data string) (policy.RolloutUpdate, error) {
	v, err := url.ParseQuery(data)
	if err != nil {
		return policy.RolloutUpdate{}, err
	}
	n := rolloutStatus{Progress: v.Get("progress")}
	var errs [4]error
	n.Image, errs[0] = strconv.Atoi(v.Get("image"))
	n.Ring, errs[1] = strconv.Atoi(v.Get("ring"))
	n.Ceiling, errs[2] = strconv.ParseFloat(v.Get("ceiling"), 64)
	n.LagMs, errs[3] = strconv.ParseFloat(v.Get("lag_ms"), 64)
	if err = errors.Join(errs[:]...); err != nil {
		return policy.RolloutUpdate{}, err
	}
	return n.update()
}
