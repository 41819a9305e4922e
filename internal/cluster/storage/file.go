package storage

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	fileMode = 0o600
	// lockTimeout is short: another process that has the file open does not close it soon.
	lockTimeout = time.Second
)

// openFile opens and checks a file, and reads its record; nil if there is none. A file that is refused is closed again.
func openFile(path string, readOnly bool) (*bbolt.DB, *record, error) {
	if err := checkNotEmpty(path); err != nil {
		return nil, nil, err
	}
	var db *bbolt.DB
	var stored *record
	err := guardMappedMemory(func() (err error) {
		if db, err = openDatabase(path, readOnly); err != nil {
			return err
		}
		return db.View(func(tx *bbolt.Tx) (err error) {
			stored, err = readRecord(tx)
			return err
		})
	})
	if err != nil {
		closeDamaged(db)
		return nil, nil, err
	}
	return db, stored, nil
}

// guardMappedMemory calls a function that reads a file that may be damaged. Damage may show as an error, as a panic within bbolt, or as
// a fault of the mapped memory, which is made a panic here; a panic becomes an error.
func guardMappedMemory(read func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("%w: reading its pages: %v", ErrCorrupt, reason)
		}
	}()
	return read()
}

// closeDamaged closes a file that is refused anyway; bbolt may panic on its pages.
func closeDamaged(db *bbolt.DB) {
	if db != nil {
		_ = guardMappedMemory(db.Close) // the file has been refused for its first fault
	}
}

// checkNotEmpty refuses an empty file, of which bbolt would make a new database. A file that doesn't exist is fine.
func checkNotEmpty(path string) error {
	if info, err := os.Stat(path); err == nil && info.Size() == 0 {
		return fmt.Errorf("%w: the file is empty", ErrCorrupt)
	}
	return nil
}

func openDatabase(path string, readOnly bool) (*bbolt.DB, error) {
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, ReadOnly: readOnly})
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, ErrLocked
	case errors.Is(err, os.ErrPermission):
		return nil, err
	default:
		return nil, fmt.Errorf("%w: opening it as a bbolt database: %w", ErrCorrupt, err)
	}
}
