package protocol

import (
	"strings"
	"testing"
)

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
