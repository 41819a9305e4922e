package storage

import (
	"errors"
	"io/fs"
	"os"
	"testing"
)

// A folder in which nothing was ever saved has no state and no agent; one without a file, and one that an agent has open, are errors of
// their own.
func TestInspectWithoutState(t *testing.T) {
	dir := t.TempDir()
	if _, err := Inspect(dir); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("an empty folder gives %v", err)
	}
	if entries, err := os.ReadDir(dir); err != nil || len(entries) != 0 {
		t.Errorf("inspecting has left %v, %v", entries, err)
	}
	store, _ := openForTest(t, dir)
	if _, err := Inspect(dir); !errors.Is(err, ErrLocked) {
		t.Errorf("a folder that is open gives %v", err)
	}
	closeForTest(t, store)
	contents, err := Inspect(dir)
	if want := (Contents{Agent: noAgent}); err != nil || contents != want {
		t.Errorf("a folder in which nothing was saved gives %+v, %v", contents, err)
	}
}
