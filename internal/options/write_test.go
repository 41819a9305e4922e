package options

import (
	"slices"
	"strings"
	"testing"
)

func mustParse(t *testing.T, text string) *Options {
	t.Helper()
	o, err := Parse("op.conf", strings.NewReader(text))
	if err != nil {
		t.Fatalf("parsing failed: %v\n%s", err, text)
	}
	return o
}

func TestWrittenOptionsParseBack(t *testing.T) {
	original := mustParse(t, "admission-control on\ntenant 'reef calor' share 0.4\nadmission-client header X-Crew\nadmission-bytes 8MiB\nlog-form json\n")
	var written, rewritten strings.Builder
	original.Write(&written)
	again := mustParse(t, written.String())
	again.Write(&rewritten)
	if rewritten.String() != written.String() {
		t.Errorf("%s was written again as %s", written.String(), rewritten.String())
	}
	if again.Admission.Weights["reef calor"] != 0.4 || !again.Admission.Enabled || again.Admission.Header != "X-Crew" ||
		again.Admission.Bytes != 8<<20 || again.Log.Format != "json" {
		t.Errorf("%s was parsed as %+v", written.String(), again)
	}
	if unknown := original.UnknownTenants([]string{"tavua"}); !slices.Equal(unknown, []string{"reef calor"}) {
		t.Errorf("got unknown tenants %v, want only reef calor", unknown)
	}
}

func TestChangedKeywordsLeavesOutReloadableOnes(t *testing.T) {
	next := mustParse(t, "log-level debug\nlog-form json\ntenant a share 2\nelection-peer 1 a:1\nadmission-control on\nadmin /run/a\n")
	changed := Defaults().ChangedKeywords(next)
	if !slices.Equal(changed, []string{"admin", "admission-control"}) {
		t.Errorf("got changed keywords %v, want admin and admission-control", changed)
	}
}
