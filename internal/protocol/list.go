package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"switchfork/internal/policy"
)

// maxBornMs bounds the start times of endpoints, in milliseconds since the Unix epoch.
const maxBornMs = 1e15

const microsPerMilli = 1000

// List is a document of discovery: the whole endpoint list, or the entries that have changed.
type List struct {
	Seq   uint64      `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []ListEntry `json:"hosts"`
}

// ListEntry is one endpoint of a list.
type ListEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"` // the address to connect to
	Site   string  `json:"site"` // its zone
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"` // when its process has started
	Build  int     `json:"build"`
}

// ReadList decodes a list.
func ReadList(raw []byte) (List, error) {
	var list List
	err := json.Unmarshal(raw, &list)
	return list, err
}

// endpointStates has the policy's state for each health that discovery knows.
var endpointStates = map[string]policy.EndpointState{
	"active":  policy.Ready,
	"leaving": policy.Draining,
	"left":    policy.Gone,
}

// Endpoint converts an entry to the policy's form, without the endpoint's number. Where zones are configured, it has to be in one of
// them.
func (e ListEntry) Endpoint(zones []string) (policy.Endpoint, error) {
	state, isKnown := endpointStates[e.Health]
	zone := slices.Index(zones, e.Site)
	hasStartTime := e.BornMs >= 0 && e.BornMs < maxBornMs
	switch {
	case e.Host == "":
		return policy.Endpoint{}, errors.New("an entry without host")
	case !isKnown:
		return policy.Endpoint{}, fmt.Errorf("%.40q has health %.20q", e.Host, e.Health)
	case zone < 0 && len(zones) > 0 && state != policy.Gone:
		return policy.Endpoint{}, fmt.Errorf("%.40q is at site %.20q", e.Host, e.Site)
	case !hasStartTime:
		return policy.Endpoint{}, fmt.Errorf("%.40q has born_ms %v", e.Host, e.BornMs)
	}
	return policy.Endpoint{
		Build:   e.Build,
		Zone:    max(0, zone),
		State:   state,
		Cell:    e.Block,
		Started: policy.Micros(e.BornMs * microsPerMilli),
		Weight:  e.Share,
	}, nil
}

// Merge returns the list with a later one applied to it.
func (l List) Merge(later List) List {
	if later.Whole {
		return later
	}
	isChanged := map[string]bool{}
	for _, entry := range later.Hosts {
		isChanged[entry.Host] = true
	}
	hosts := slices.DeleteFunc(slices.Clone(l.Hosts), func(entry ListEntry) bool { return isChanged[entry.Host] })
	return List{Seq: later.Seq, Whole: l.Whole, Hosts: append(hosts, later.Hosts...)}
}
