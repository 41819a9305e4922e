// Package storage keeps a replica's durable state in a folder, in one bbolt file that is synced before Save returns. It refuses
// a damaged file completely instead of using the parts that can be read, because a replica that forgets a promise may break the
// election's safety.
//
// A Store belongs to the goroutine that runs the replica. While open, it holds a lock on the file, so that two processes can't
// share a folder.
package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"switchfork/internal/cluster/election"

	"go.etcd.io/bbolt"
)

const (
	fileName = "decider.db"
	dirMode  = 0o700
	// maxFileBytes is far more than one small record needs. The file stays small although the record is written again and again,
	// because bbolt reuses free pages.
	maxFileBytes = 1 << 20
)

// Names within the bbolt file. They are part of the file format.
const (
	bucketName = "decider"
	recordKey  = "memory"
)

// Store is an open state folder.
type Store struct {
	db    *bbolt.DB
	owner Owner
}

// Open opens a replica's folder, and creates the folder if necessary. It returns the state stored there, or nil if nothing was
// ever saved. A file that is damaged or belongs to another agent is refused and renamed, and the error wraps ErrCorrupt. If
// another process has the file open, the error wraps ErrLocked.
func Open(folder string, group uint64, agent int) (*Store, *election.DurableState, error) {
	if err := os.MkdirAll(folder, dirMode); err != nil {
		return nil, nil, fmt.Errorf("creating the state folder: %w", err)
	}
	path := filepath.Join(folder, fileName)
	owner := Owner{Group: group, Agent: agent}
	db, stored, err := openOwnFile(path, owner)
	if errors.Is(err, ErrCorrupt) {
		return nil, nil, quarantine(path, err)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("opening the state file %s: %w", path, err)
	}
	return &Store{db: db, owner: owner}, stored.durableState(), nil
}

// openOwnFile opens a file for writing, and refuses a file that holds another agent's record.
func openOwnFile(path string, owner Owner) (*bbolt.DB, *record, error) {
	db, stored, err := openFile(path, false)
	if err != nil {
		return nil, nil, err
	}
	if stored != nil && stored.owner() != owner {
		closeDamaged(db)
		return nil, nil, &WrongOwnerError{Stored: stored.owner(), Expected: owner}
	}
	return db, stored, nil
}

// quarantine renames a refused file, so that a later start begins without it. It returns an error with the reason and the new name.
func quarantine(path string, reason error) error {
	refused := fmt.Sprintf("%s.refused-%d", path, time.Now().UnixNano())
	if err := os.Rename(path, refused); err != nil {
		return fmt.Errorf("opening the state file %s: %w; renaming the file: %w", path, reason, err)
	}
	return &QuarantinedError{Path: path, MovedTo: refused, Reason: reason}
}

// Save writes the state. The state is on disk when Save returns without an error.
func (s *Store) Save(state election.DurableState) error {
	raw, err := encodeRecord(record{
		Format: recordFormat,
		Group:  s.owner.Group,
		Agent:  uint8(s.owner.Agent),
		State:  state,
	})
	if err != nil {
		return err
	}
	err = s.db.Update(func(tx *bbolt.Tx) error { return putRecord(tx, raw) })
	if err != nil {
		return fmt.Errorf("saving the state to %s: %w", s.db.Path(), err)
	}
	return nil
}

func putRecord(tx *bbolt.Tx, raw []byte) error {
	if tx.Size() > maxFileBytes {
		return &FileTooLargeError{tx.Size()}
	}
	bucket, err := tx.CreateBucketIfNotExists([]byte(bucketName))
	if err != nil {
		return err
	}
	return bucket.Put([]byte(recordKey), raw)
}

// Close closes the file and releases its lock.
func (s *Store) Close() error { return s.db.Close() }
