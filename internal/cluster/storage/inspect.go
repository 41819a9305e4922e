package storage

import (
	"fmt"
	"os"
	"path/filepath"

	"switchfork/internal/cluster/election"
)

// noAgent is the value of Contents.Agent if the file holds no record.
const noAgent = -1

// Contents is the content of a state folder.
type Contents struct {
	Group uint64
	Agent int                    // index of the agent whose state is stored; -1: nothing was ever saved
	State *election.DurableState // nil: nothing was ever saved
}

// Inspect reads a state folder without changing anything in it. If the folder has no state file, the error wraps fs.ErrNotExist.
func Inspect(folder string) (Contents, error) {
	path := filepath.Join(folder, fileName)
	if _, err := os.Stat(path); err != nil {
		return Contents{}, fmt.Errorf("reading the state folder: %w", err)
	}
	db, stored, err := openFile(path, true)
	if err != nil {
		return Contents{}, fmt.Errorf("reading the state file %s: %w", path, err)
	}
	_ = db.Close() // the file was only read, so an error has no consequence
	if stored == nil {
		return Contents{Agent: noAgent}, nil
	}
	return Contents{
		Group: stored.Group,
		Agent: int(stored.Agent),
		State: stored.durableState(),
	}, nil
}
