package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"switchfork/internal/policy"
)

// maxStartedAtMs is the exclusive upper limit of an endpoint's start time, in milliseconds since the Unix epoch.
const maxStartedAtMs = 1e15

const microsPerMilli = 1000

// List is a list received from discovery. It holds all endpoints, or only those whose entries have changed.
type List struct {
	Version uint64      `json:"seq"`
	IsFull  bool        `json:"whole"`
	Entries []ListEntry `json:"hosts"`
}

// ListEntry is the description of one endpoint in a list.
type ListEntry struct {
	Host        string  `json:"host"` // the endpoint's name
	Address     string  `json:"dial"` // host:port to connect to
	Zone        string  `json:"site"`
	Cell        int     `json:"block"`
	Health      string  `json:"health"`
	Weight      float64 `json:"share"`
	StartedAtMs float64 `json:"born_ms"` // start time of the endpoint's process, in milliseconds since the Unix epoch
	Build       int     `json:"build"`
}

// HealthActive is the health of an endpoint that accepts new attempts.
const HealthActive = "active"

// ReadList decodes a list. It returns errors of encoding/json as they are; the caller adds where the list came from.
func ReadList(raw []byte) (List, error) {
	var list List
	err := json.Unmarshal(raw, &list)
	return list, err
}

// errNoHost reports that a list entry has no host name, without which the endpoint can't be identified.
var errNoHost = errors.New("list entry has no host")

// endpointStates maps each value of ListEntry.Health to the policy's endpoint state.
var endpointStates = map[string]policy.EndpointState{
	HealthActive: policy.Ready,
	"leaving":    policy.Draining,
	"left":       policy.Gone,
}

// Endpoint converts an entry to a policy.Endpoint, without setting its ID. If zones are configured, an endpoint that is not gone has to be
// in one of them.
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

// Merge returns the result of applying a later list to l. A full list replaces l. A list of changes replaces the entries of the hosts that
// it names.
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
