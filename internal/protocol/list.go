package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"switchfork/internal/policy"
)

// List is a line of discovery: the whole list, or what changed.
type List struct {
	Seq   uint64      `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []ListEntry `json:"hosts"`
}

// ListEntry is one appliance there.
type ListEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
	Build  int     `json:"build"`
}

func ReadList(raw []byte) (List, error) {
	var r List
	err := json.Unmarshal(raw, &r)
	return r, err
}

var endpointStates = map[string]policy.EndpointState{"active": policy.Ready, "leaving": policy.Draining, "left": policy.Gone}

// Endpoint is the entry as the module knows it, but for its number.
func (e ListEntry) Endpoint(zones []string) (policy.Endpoint, error) {
	state, known := endpointStates[e.Health]
	zone := slices.Index(zones, e.Site)
	switch {
	case e.Host == "":
		return policy.Endpoint{}, errors.New("an entry without host")
	case !known:
		return policy.Endpoint{}, fmt.Errorf("%.40q has health %.20q", e.Host, e.Health)
	case zone < 0 && len(zones) > 0 && state != policy.Gone:
		return policy.Endpoint{}, fmt.Errorf("%.40q is at site %.20q", e.Host, e.Site)
	case !(e.BornMs >= 0 && e.BornMs < 1e15):
		return policy.Endpoint{}, fmt.Errorf("%.40q has born_ms %v", e.Host, e.BornMs)
	}
	return policy.Endpoint{
		Build: e.Build, Zone: max(0, zone), State: state, Cell: e.Block,
		Started: policy.Micros(e.BornMs * 1000), Weight: e.Share,
	}, nil
}

// Merge is a list with later changes.
func (l List) Merge(later List) List {
	if later.Whole {
		return later
	}
	changed := map[string]bool{}
	for _, e := range later.Hosts {
		changed[e.Host] = true
	}
	hosts := slices.DeleteFunc(slices.Clone(l.Hosts), func(e ListEntry) bool { return changed[e.Host] })
	return List{Seq: later.Seq, Whole: l.Whole, Hosts: append(hosts, later.Hosts...)}
}

// EndpointID is a host's number: a hash of its name, alike on every agent and after a restart.
func EndpointID(host string) uint32 {
	h := Hash64(host)
	return uint32(h ^ h>>32)
}
