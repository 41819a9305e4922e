package faulttest

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
)

// Operators' tools read the keys of records.json, so the keys stay the same when fields are renamed.
func TestRecordKeysAreStable(t *testing.T) {
	records := validRecords()
	records.Calls = map[string][]Call{serverDiscovery: {{}}}
	text, err := json.Marshal(records)
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]any
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	firstOf := func(key string) any { return got[key].([]any)[0] }
	request := firstOf("Txns").(map[string]any)
	for _, c := range []struct {
		what  string
		value any
		want  []string
	}{
		{"records", got, []string{
			"Agents", "Arrivals", "Born", "Calls", "Crossings", "Datagrams", "Decider", "End", "HadList", "HadNews", "Lists", "Lives",
			"SentAt", "Slots", "Stages", "Surplus", "Txns", "Votes", "Work",
		}},
		{"a request", request, []string{"Agent", "Came", "Fate", "InTime", "Tries"}},
		{"an attempt", request["Tries"].([]any)[0], []string{
			"Agent", "Body", "Ended", "Err", "ID", "Key", "Product", "Sent", "Status", "Surplus", "Unreached",
		}},
		{"an arrival", firstOf("Arrivals"), []string{"Agent", "At", "Box", "Build", "Dropped", "From", "ID", "Key", "Product", "Ran"}},
		{"a vote", firstOf("Votes"), []string{"Agent", "At", "Build", "Opinion", "Stage"}},
		{"a stage", firstOf("Stages"), []string{"At", "Build", "Cap", "Phase", "Stage"}},
		{"an endpoint", firstOf("Lists").([]any)[0], []string{"Born", "Box", "Build", "Health"}},
		{"a process", firstOf("Lives").([]any)[0], []string{"ExitError", "From", "Killed", "Left", "Standstill", "To"}},
		{"a receipt", firstOf("HadList").([]any)[0], []string{"At", "Serial"}},
		{"a call", got["Calls"].(map[string]any)[serverDiscovery].([]any)[0], []string{"Agent", "At", "What"}},
	} {
		keys := slices.Sorted(maps.Keys(c.value.(map[string]any)))
		if !slices.Equal(keys, c.want) {
			t.Errorf("keys of %s are %q, want %q", c.what, keys, c.want)
		}
	}
}
