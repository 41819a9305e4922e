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

const fileWithCurrentKeywords = `log-level warn
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

// A file with old keywords gives the same options as one with current keywords. Each old keyword is recorded once, with its
// current name.
func TestOldKeywordsGiveTheSameOptions(t *testing.T) {
	old, current := mustParse(t, fileWithOldKeywords), mustParse(t, fileWithCurrentKeywords)
	if current.Renamed != nil {
		t.Errorf("current keywords are reported as renamed: %v", current.Renamed)
	}
	if len(old.Renamed) != len(currentNames) {
		t.Errorf("got %d renamed keywords, want %d: %v", len(old.Renamed), len(currentNames), old.Renamed)
	}
	for _, k := range old.Renamed {
		if currentNames[k.Written] != k.Current {
			t.Errorf("%s: got the current name %s, want %s", k.Written, k.Current, currentNames[k.Written])
		}
	}
	const want = "op.conf:15: decider-peer: this keyword is called election-peer now"
	if got := old.Renamed[len(old.Renamed)-2].String(); got != want {
		t.Errorf("got the message %q, want %q", got, want)
	}
	old.Renamed = nil
	if !reflect.DeepEqual(old, current) {
		t.Errorf("got options %+v, want %+v", old, current)
	}
	var writtenOld, writtenCurrent strings.Builder
	old.Write(&writtenOld)
	current.Write(&writtenCurrent)
	if writtenOld.String() != writtenCurrent.String() {
		t.Errorf("got the written options %s, want %s", writtenOld.String(), writtenCurrent.String())
	}
}

// Each old name maps to a keyword that exists, and is not itself the current name of a keyword.
func TestRenamedKeywordsExist(t *testing.T) {
	for old, current := range currentNames {
		if _, exists := keywords[current]; !exists {
			t.Errorf("the old name %s maps to %s, which is not a keyword", old, current)
		}
		if _, exists := keywords[old]; exists {
			t.Errorf("the old name %s is still the current name of a keyword", old)
		}
	}
}

// A keyword that occurs under both its old and its current name is a duplicate.
func TestOldAndPresentKeywordAreDuplicates(t *testing.T) {
	for text, want := range map[string]string{
		"door on\nadmission-control on\n":                    "op.conf:2: admission-control: is already on line 1, as door",
		"retry-after on\n\ncome-back off\n":                  "op.conf:3: come-back: is already on line 1, as retry-after",
		"decider-peer 1 a:1\nelection-peer 1 b:1\n":          "op.conf:2: election-peer: is already on line 1, as decider-peer",
		"decider-peer 1 a:1\nelection-peer 2 b:1\ndoor oh\n": `op.conf:3: door: is "oh", expected on or off`,
	} {
		if _, err := Parse("op.conf", strings.NewReader(text)); err == nil || err.Error() != want {
			t.Errorf("%q: got error %v, want %s", text, err, want)
		}
	}
}
