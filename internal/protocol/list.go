package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"switchfork/internal/policy"
)

// maxStartedAtMs bounds the start times of endpoints, in milliseconds since the Unix epoch.
const maxStartedAtMs = 1e15

const microsPerMilli = 1000

// List is a document of discovery: the full endpoint list, or the entries that have changed.
type List struct {
	Version uint64      `json:"seq"`
	IsFull  bool        `json:"whole"`
	Entries []ListEntry `json:"hosts"`
}

// ListEntry is one endpoint of a list.
type ListEntry struct {
	Host        string  `json:"host"` // its name
	Address     string  `json:"dial"` // to connect to
	Zone        string  `json:"site"`
	Cell        int     `json:"block"`
	Health      string  `json:"health"`
	Weight      float64 `json:"share"`
	StartedAtMs float64 `json:"born_ms"` // when its process has started, in milliseconds since the Unix epoch
	Build       int     `json:"build"`
}

// HealthActive is the health of an endpoint that takes new attempts.
const HealthActive = "active"

// ReadList decodes a list. Its errors are those of encoding/json: callers say where the list came from.
func ReadList(raw []byte) (List, error) {
	var list List
	err := json.Unmarshal(raw, &list)
	return list, err
}

// errNoHost is the error of a list entry that can't be told from others.
var errNoHost = errors.New("list entry has no host")

// endpointStates has the policy's state for each health that discovery knows.
var endpointStates = map[string]policy.EndpointState{
	HealthActive: policy.Ready,
	"leaving":    policy.Draining,
	"left":       policy.Gone,
}

// Endpoint converts an entry to the policy's form, without the endpoint's number. Where zones are configured, it has to be in one of
// them.
func (e ListEntry) Endpoint(zones []string) (policy.Endpoint, error) {
	state, isKnown := endpointStates[e.Health]
	zone := slices.Index(zones, e.Zone)
	needsZone := len(zones) > 0 && state != policy.Gone
	hasStartTime := e.StartedAtMs >= 0 && e.StartedAtMs < maxStartedAtMs
	switch {
	case e.Host == "":
		return policy.Endpoint{}, errNoHost
	case !isKnown:
		return policy.Endpoint{}, fmt.Errorf("list entry %.40q has health %.20q, want active, leaving or left", e.Host, e.Health)
	case needsZone && zone < 0:
		return policy.Endpoint{}, fmt.Errorf("list entry %.40q is at site %.20q, want one of the configured zones", e.Host, e.Zone)
	case !hasStartTime:
		return policy.Endpoint{}, fmt.Errorf("list entry %.40q has born_ms %v, want 0 or more and below %v", e.Host, e.StartedAtMs, maxStartedAtMs)
	}
	return policy.Endpoint{
		Build:   e.Build,
		Zone:    max(0, zone),
		State:   state,
		Cell:    e.Cell,
		Started: policy.Micros(e.StartedAtMs * microsPerMilli),
		Weight:  e.Weight,
	}, nil
}

// Merge returns the list with a later one applied to it.
func (l List) Merge(later List) List {
	if later.IsFull {
		return later
	}
	isChanged := map[string]bool{}
	for _, entry := range later.Entries {
		isChanged[entry.Host] = true
	}
	entries := slices.DeleteFunc(slices.Clone(l.Entries), func(entry ListEntry) bool { return isChanged[entry.Host] })
	return List{Version: later.Version, IsFull: l.IsFull, Entries: append(entries, later.Entries...)}
}
