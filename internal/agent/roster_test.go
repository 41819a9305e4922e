package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"switchfork/internal/policy"
)

// These hold the list's side to its word over real connections.

// indented is a list over several lines.
func indented(list string) string {
	var out bytes.Buffer
	if err := json.Indent(&out, []byte(strings.TrimSpace(list)), "", "  "); err != nil {
		panic(err)
	}
	return out.String() + "\n"
}

// states are what the module was last told of each host's build and state, by number.
func (r *rig) states() map[uint32]policy.Endpoint {
	out := map[uint32]policy.Endpoint{}
	for _, l := range seen[policy.EndpointUpdate](r.script) {
		if l.Full {
			clear(out)
		}
		for _, row := range l.Endpoints {
			if out[row.ID] = row; row.State == policy.Gone {
				delete(out, row.ID)
			}
		}
	}
	return out
}

// has waits until the module knows of so many hosts, and of the box with this build.
func (r *rig) has(t *testing.T, hosts, build int) {
	t.Helper()
	eventually(t, fmt.Sprintf("a list of %d with build %d", hosts, build), func() bool {
		s := r.states()
		return len(s) == hosts && s[NewClient(r.core, "", nil, 0, 0, 1, 1).number("box")].Build == build
	})
}

// Lists may come over several lines, whole as well as changes.
func TestIndentedLists(t *testing.T) {
	two := indented(line(5, true, host("box", "127.0.0.1:1", "active", 1), host("box2", "127.0.0.1:2", "active", 1)))
	d := newStreamer(t, "\n", 50*time.Millisecond, func(asked string) string {
		if strings.Contains(asked, "stream") {
			return ""
		}
		return two
	})
	r := newRig(t, time.Second, d.Addr(), "127.0.0.1:1")
	if err := r.roster.Known(nil); err != nil {
		t.Fatal(err)
	}
	go r.roster.Serve(r.ctx)
	r.has(t, 2, 1)
	eventually(t, "the watch", func() bool { return d.Open() == 1 })
	d.Publish(indented(line(6, false, host("box", "127.0.0.1:1", "active", 2))))
	r.has(t, 2, 2)
	d.Publish(line(7, false, host("box", "127.0.0.1:1", "active", 3)) + indented(line(8, false, host("box2", "127.0.0.1:2", "left", 1))))
	r.has(t, 1, 3)
	if n := d.CallsContaining(""); n != 2 {
		t.Errorf("asked %q", d.Targets())
	}
}

// A list that lacks its end is found out by the next sign of life or the next list, and the whole list is fetched.
func TestListWithoutItsEnd(t *testing.T) {
	cut := indented(line(6, false, host("box", "127.0.0.1:1", "leaving", 7)))
	cut = cut[:strings.Index(cut, `"health"`)]
	for name, rest := range map[string]string{
		"then a sign": "\n", "then a list": line(7, false, host("box", "127.0.0.1:1", "leaving", 8)),
		"then an indented one": indented(line(7, false, host("box", "127.0.0.1:1", "leaving", 8))),
	} {
		t.Run(name, func(t *testing.T) {
			d := newStreamer(t, "\n", 50*time.Millisecond, func(asked string) string {
				if strings.Contains(asked, "stream") {
					return ""
				}
				return line(9, true, host("box", "127.0.0.1:1", "active", 9))
			})
			r := newRig(t, time.Second, d.Addr(), "127.0.0.1:1")
			if err := r.roster.Known([]byte(line(5, true, host("box", "127.0.0.1:1", "active", 1)))); err != nil {
				t.Fatal(err)
			}
			go r.roster.Serve(r.ctx)
			eventually(t, "the watch", func() bool { return d.Open() == 1 })
			d.Publish(cut + "\n" + rest)
			r.has(t, 1, 9)
			for _, l := range seen[policy.EndpointUpdate](r.script) {
				for _, row := range l.Endpoints {
					if row.Build == 7 {
						t.Errorf("told %+v, of which half came", row)
					}
				}
			}
		})
	}
}

// moving is a rig that knows of version 5 and has been told a drain as version 9, before it moves to a discovery that is at version 7.
func moving(t *testing.T, sign time.Duration) (r *rig, old, new *streamer) {
	silent := func(string) string { return "" }
	old = newStreamer(t, "\n", time.Hour, silent)
	new = newStreamer(t, "\n", sign, func(asked string) string {
		if strings.Contains(asked, "stream") {
			return ""
		}
		return line(7, true, host("box", "127.0.0.1:1", "active", 1), host("box2", "127.0.0.1:2", "active", 1))
	})
	r = newRig(t, time.Second, old.Addr(), "127.0.0.1:1")
	if err := r.roster.Known([]byte(line(5, true, host("box", "127.0.0.1:1", "active", 1)))); err != nil {
		t.Fatal(err)
	}
	go r.roster.Serve(r.ctx)
	eventually(t, "the old watch", func() bool { return old.Open() == 1 })
	old.Publish(line(9, false, host("box", "127.0.0.1:1", "leaving", 1)))
	eventually(t, "the drain", r.drained)
	r.roster.Move(new.Addr())
	return r, old, new
}

// drained tells whether the module knows that the box drains.
func (r *rig) drained() bool {
	for _, row := range r.states() {
		if row.State == policy.Draining {
			return true
		}
	}
	return false
}

// A discovery that is behind does not take a drain back: its whole list is held until its watch has brought it as far.
func TestMoveToAnOlderList(t *testing.T) {
	r, old, new := moving(t, time.Hour)
	eventually(t, "the new watch", func() bool { return new.CallsContaining("index=7") == 1 && new.Open() == 1 })
	done := make(chan struct{}) // all that the new one has brought is handled
	r.roster.box.Put(Barrier{done})
	<-done
	r.core.Flush(r.ctx)
	if !r.drained() || old.Closed() != 0 {
		t.Fatalf("the older list is in force: %+v", r.states())
	}
	old.Publish(line(10, false, host("box", "127.0.0.1:1", "leaving", 2))) // which goes on telling
	r.has(t, 1, 2)
	new.Publish(line(9, false, host("box", "127.0.0.1:1", "leaving", 1)))
	new.Publish(line(11, false, host("box", "127.0.0.1:1", "leaving", 3), host("box3", "127.0.0.1:3", "left", 1)))
	r.has(t, 2, 3)
	eventually(t, "the end of the old watch", func() bool { return old.Closed() == 1 })
	for i, l := range seen[policy.EndpointUpdate](r.script) {
		for _, row := range l.Endpoints {
			if i > 1 && row.ID == NewClient(r.core, "", nil, 0, 0, 1, 1).number("box") && row.State != policy.Draining {
				t.Errorf("list %d takes the drain back: %+v", i, row)
			}
		}
	}
}

// A discovery that counts otherwise is believed with its first sign of life.
func TestMoveToOtherNumbers(t *testing.T) {
	r, old, new := moving(t, 50*time.Millisecond)
	r.has(t, 2, 1)
	eventually(t, "the end of the old watch", func() bool { return old.Closed() == 1 })
	new.Publish(line(8, false, host("box", "127.0.0.1:1", "active", 5)))
	r.has(t, 2, 5)
}

// A watch that falls silent is opened anew well before what it misses counts as told, 6 s after its last line.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	told := line(6, false, host("box", "127.0.0.1:1", "leaving", 1))
	d := newStreamer(t, "\n", time.Hour, func(string) string { return "\n" })
	r := newRig(t, time.Second, d.Addr(), "127.0.0.1:1")
	if err := r.roster.Known([]byte(line(5, true, host("box", "127.0.0.1:1", "active", 1)))); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	go r.roster.Serve(r.ctx)
	eventually(t, "the watch again", func() bool { return d.CallsContaining("stream=1&index=5") == 2 })
	eventually(t, "its stream", func() bool { return d.Open() == 2 || d.Closed() == 1 })
	d.Publish(told)
	eventually(t, "the drain", r.drained)
	if took := time.Since(start); took < watchSign || took > 3*watchSign-watchSign/4 {
		t.Errorf("the drain came %v after the last line", took)
	}
}

// Brackets within texts are none, and a line alone that is no list is told as it came.
func TestMessage(t *testing.T) {
	for _, c := range []struct {
		lines string // with / between
		want  string // the lists that come, with / between; ! for an error
	}{
		{`{"a":"}"}`, `{"a":"}"}`},
		{`{/ "a":"\"}{"/}/`, `{ "a":"\"}{"}/`},
		{`//`, `//`},
		{`{/`, `!`},
		{`{/{"seq":4,"hosts":[]}`, `!`},
		{`]`, `]`},
		{`{"a":"/b"}`, `{"a":"`},
		{`{/"01234567890123456789012345678901234567890123456789"`, `!`},
	} {
		var m ListReader
		var got []string
		for _, l := range strings.Split(c.lines, "/") {
			whole, err := m.Add([]byte(l), 50)
			if err != nil {
				got = append(got, "!")
				break
			}
			if whole != nil || l == "" {
				got = append(got, string(whole))
			}
			if c.lines == `{"a":"/b"}` {
				break
			}
		}
		if strings.Join(got, "/") != c.want {
			t.Errorf("%s: got %q, want %q", c.lines, strings.Join(got, "/"), c.want)
		}
	}
}
