package options

import (
	"errors"
	"strings"
	"testing"
)

func TestParseReportsAllFaults(t *testing.T) {
	_, err := Parse("op.conf", strings.NewReader(`# a file with everything wrong
door onn
dor on
door-queues 0
tenant beqa 3
log-level loud   # a comment
door-bytes 12
log-form "text
come-back on
come-back off
door-client header
zzzzqqq 1
same-answer
`))
	var faults FileErrors
	if !errors.As(err, &faults) {
		t.Fatalf("no faults but %v", err)
	}
	for i, want := range []string{
		`op.conf:2: door: is "onn", expected on or off`,
		`op.conf:3: dor: no such keyword, the nearest is door`,
		`op.conf:4: door-queues: is "0", expected a whole number, 1 to 65536`,
		`op.conf:5: tenant: is "beqa 3", expected a name, the word share and a weight`,
		`op.conf:6: log-level: is "loud", expected one of debug, info, warn, error`,
		`op.conf:7: door-bytes: is "12", expected a size as 512KiB or 8MiB, or auto`,
		`op.conf:8: a quote that does not end`,
		`op.conf:10: come-back: stands on line 9 already`,
		`op.conf:11: door-client: is "header", expected address, connection, or header and a name`,
		`op.conf:12: zzzzqqq: no such keyword, known are`,
		`op.conf:13: same-answer: has 0 values, expected on|off`,
	} {
		if i >= len(faults) || !strings.HasPrefix(faults[i].Error(), want) {
			t.Errorf("fault %d of %v, want %s", i, faults, want)
		}
	}
}

// What is written out is read in again as the same.
func TestWrittenOptionsParseBack(t *testing.T) {
	o, err := Parse("a", strings.NewReader("door on\ntenant 'reef calor' share 0.4\ndoor-client header X-Crew\ndoor-bytes 8MiB\nlog-form json\n"))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	o.Write(&out)
	again, err := Parse("b", strings.NewReader(out.String()))
	if err != nil {
		t.Fatalf("%v in\n%s", err, out.String())
	}
	var twice strings.Builder
	if again.Write(&twice); twice.String() != out.String() || again.Admission.Weights["reef calor"] != 0.4 || !again.Admission.Enabled ||
		again.Admission.Header != "X-Crew" || again.Admission.Bytes != 8<<20 || again.Log.Format != "json" {
		t.Errorf("%s became %s", out.String(), twice.String())
	}
	if s := o.UnknownTenants([]string{"tavua"}); len(s) != 1 || s[0] != "reef calor" {
		t.Errorf("strangers %v", s)
	}
}
