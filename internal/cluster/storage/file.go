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
	// lockTimeout is short because another process that has the file open is not expected to close it soon.
	lockTimeout = time.Second
)

// openFile opens and checks a file, and reads the record in the file. The record is nil if nothing was ever saved. A file that is
// refused is closed again.
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

// guardMappedMemory calls a function that reads a file that may be damaged. The damage may show as an error, as a panic within
// bbolt, or as a memory fault in the mapped file. guardMappedMemory turns a memory fault into a panic, and a panic into an error.
func guardMappedMemory(read func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("%w: reading the pages: %v", ErrCorrupt, reason)
		}
	}()
	return read()
}

// closeDamaged closes a file that is refused. bbolt may panic on the pages of such a file.
func closeDamaged(db *bbolt.DB) {
	if db != nil {
		_ = guardMappedMemory(db.Close) // the file has already been refused for an earlier error
	}
}

// checkNotEmpty refuses an empty file, because bbolt would turn it into a new database. It accepts a file that doesn't exist.
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
		return nil, fmt.Errorf("%w: opening the file as a bbolt database: %w", ErrCorrupt, err)
	}
}
