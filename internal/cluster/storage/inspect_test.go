package storage

import (
	"errors"
	"io/fs"
	"os"
	"testing"
)

// Inspect returns no state and no agent for a folder in which nothing was ever saved. A folder without a file and a folder that an
// agent has open give different errors.
func TestInspectWithoutState(t *testing.T) {
	dir := t.TempDir()
	if _, err := Inspect(dir); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("an empty folder: got %v, want fs.ErrNotExist", err)
	}
	if entries, err := os.ReadDir(dir); err != nil || len(entries) != 0 {
		t.Errorf("after Inspect the empty folder holds %v, error %v, want no files", entries, err)
	}
	store, _ := openForTest(t, dir)
	if _, err := Inspect(dir); !errors.Is(err, ErrLocked) {
		t.Errorf("a folder that is open: got %v, want ErrLocked", err)
	}
	closeForTest(t, store)
	contents, err := Inspect(dir)
	if want := (Contents{Agent: noAgent}); err != nil || contents != want {
		t.Errorf("a folder in which nothing was saved: got %+v and the error %v, want no state and no agent", contents, err)
	}
}
