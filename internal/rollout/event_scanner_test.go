package rollout

import (
	"slices"
	"strings"
	"testing"
)

// An update is returned only after the empty line that ends its event. A comment is a heartbeat, events of other types are skipped, and a line
// that can't be parsed is an error.
func TestEventScanner(t *testing.T) {
	const update = "event: ROLLOUT\ndata: image=42&ring=1&progress=testing&ceiling=0.2&lag_ms=9\n"
	for name, c := range map[string]struct {
		stream  string
		want    []string // "heartbeat" or "update"
		isError bool
	}{
		"empty":             {"", nil, false},
		"update":            {"id: 7\nretry: 10\n" + update + "\n", []string{"update"}, false},
		"between":           {":\n" + update + ": ping\n\n:\n", []string{"heartbeat", "heartbeat", "update", "heartbeat"}, false},
		"cut off":           {update, nil, false},
		"other type":        {"event: OTHER\ndata: image=1\n\n:\n", []string{"heartbeat"}, false},
		"no event":          {"\n\n:\n", []string{"heartbeat"}, false},
		"unreadable update": {":\nevent: ROLLOUT\ndata: image=x\n\n:\n", []string{"heartbeat"}, true},
		"unknown field":     {update + "\nnoise\n:\n", []string{"update"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			events := newEventScanner(strings.NewReader(c.stream))
			for events.scan() {
				if events.update == nil {
					got = append(got, "heartbeat")
					continue
				}
				got = append(got, "update")
				if events.update.Build != 42 || events.update.Stage != 1 {
					t.Errorf("got update %+v, want build 42 and stage 1", events.update)
				}
			}
			if !slices.Equal(got, c.want) || (events.err != nil) != c.isError {
				t.Errorf("got %v and error %v, want %v", got, events.err, c.want)
			}
		})
	}
}
