package protocol

import (
	"strings"
	"testing"
)

// Brackets within strings are not counted. A single line that is not a list is returned unchanged.
func TestListReader(t *testing.T) {
	for _, c := range []struct {
		lines string // input lines, separated by /
		want  string // expected documents, separated by /; ! for an error
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
		var reader ListReader
		var got []string
		for _, line := range strings.Split(c.lines, "/") {
			document, err := reader.Add([]byte(line), 50)
			if err != nil {
				got = append(got, "!")
				break
			}
			if document != nil || line == "" {
				got = append(got, string(document))
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
