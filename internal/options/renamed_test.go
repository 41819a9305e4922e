package options

import (
	"reflect"
	"strings"
	"testing"
)

const fileWithOldKeywords = `log-level warn
door on
door-queues 128
door-txns 900
door-bytes 8MiB
door-client header X-Crew
come-back off
same-answer on
tenant 'reef calor' share 0.4
decider on
decider-group ledger-a
decider-lease 3s
decider-listen 10.1.0.10:7411
decider-me 1
decider-peer 0 10.1.0.10:7411
decider-peer 1 10.1.0.11:7411
decider-state /var/lib/switchfork/decider
admin /run/switchfork/admin.sock
`

const fileWithPresentKeywords = `log-level warn
admission-control on
admission-queues 128
admission-requests 900
admission-bytes 8MiB
admission-client header X-Crew
retry-after off
coalesce-requests on
tenant 'reef calor' share 0.4
leader-election on
election-group ledger-a
election-lease 3s
election-listen 10.1.0.10:7411
replica-id 1
election-peer 0 10.1.0.10:7411
election-peer 1 10.1.0.11:7411
state-folder /var/lib/switchfork/decider
admin /run/switchfork/admin.sock
`

// A file with old keywords gives the same options, and says once for each what it is called now.
func TestOldKeywordsGiveTheSameOptions(t *testing.T) {
	old, present := mustParse(t, fileWithOldKeywords), mustParse(t, fileWithPresentKeywords)
	if present.Renamed != nil {
		t.Errorf("present keywords are called renamed: %v", present.Renamed)
	}
	if len(old.Renamed) != len(currentNames) {
		t.Errorf("%d keywords are called renamed, want %d: %v", len(old.Renamed), len(currentNames), old.Renamed)
	}
	for _, k := range old.Renamed {
		if currentNames[k.Written] != k.Current {
			t.Errorf("%s is called %s, want %s", k.Written, k.Current, currentNames[k.Written])
		}
	}
	const want = "op.conf:15: decider-peer: this keyword is called election-peer now"
	if got := old.Renamed[len(old.Renamed)-2].String(); got != want {
		t.Errorf("says %q, want %q", got, want)
	}
	old.Renamed = nil
	if !reflect.DeepEqual(old, present) {
		t.Errorf("%+v, want %+v", old, present)
	}
	var writtenOfOld, writtenOfPresent strings.Builder
	old.Write(&writtenOfOld)
	present.Write(&writtenOfPresent)
	if writtenOfOld.String() != writtenOfPresent.String() {
		t.Errorf("written as %s, want %s", writtenOfOld.String(), writtenOfPresent.String())
	}
}

// Each old name belongs to a keyword that exists, and is none itself.
func TestRenamedKeywordsExist(t *testing.T) {
	for old, current := range currentNames {
		if _, exists := keywords[current]; !exists {
			t.Errorf("%s is to be called %s, which is no keyword", old, current)
		}
		if _, exists := keywords[old]; exists {
			t.Errorf("%s is a keyword still", old)
		}
	}
}

// A keyword that stands in a file by its old and by its present name stands there twice.
func TestOldAndPresentKeywordAreDuplicates(t *testing.T) {
	for text, want := range map[string]string{
		"door on\nadmission-control on\n":                    "op.conf:2: admission-control: stands on line 1 already, as door",
		"retry-after on\n\ncome-back off\n":                  "op.conf:3: come-back: stands on line 1 already, as retry-after",
		"decider-peer 1 a:1\nelection-peer 1 b:1\n":          "op.conf:2: election-peer: stands on line 1 already, as decider-peer",
		"decider-peer 1 a:1\nelection-peer 2 b:1\ndoor oh\n": `op.conf:3: door: is "oh", expected on or off`,
	} {
		if _, err := Parse("op.conf", strings.NewReader(text)); err == nil || err.Error() != want {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}
