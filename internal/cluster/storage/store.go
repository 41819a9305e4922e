// Package storage keeps a replica's durable state in a folder, in one bbolt file that is synced before Save returns. It refuses
// a file that is damaged as a whole, since a replica that forgets a promise may break the election's safety.
//
// A Store belongs to the goroutine that runs the replica. While it is open it holds a lock on the file, so that two processes
// can't share a folder.
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
	// maxFileBytes is ample for one small record that is written again and again, because bbolt reuses its free pages.
	maxFileBytes = 1 << 20
)

// Names within the bbolt file; they are part of its format.
const (
	bucketName = "decider"
	recordKey  = "memory"
)

// Store is an open folder.
type Store struct {
	db    *bbolt.DB
	owner Owner
}

// Open opens a replica's folder, which it makes if need be, and reads the state stored there; nil if nothing was ever saved. A file
// that is damaged or belongs to another agent is moved aside and refused: the error wraps ErrCorrupt. One that another process has
// open is ErrLocked.
func Open(folder string, group uint64, agent int) (*Store, *election.DurableState, error) {
	if err := os.MkdirAll(folder, dirMode); err != nil {
		return nil, nil, fmt.Errorf("making the state folder: %w", err)
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

// openOwnFile opens a file for writing, and refuses one that holds another agent's record.
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

// quarantine renames a refused file, so that a later start begins without it, and returns the reason with the new name.
func quarantine(path string, reason error) error {
	refused := fmt.Sprintf("%s.refused-%d", path, time.Now().UnixNano())
	if err := os.Rename(path, refused); err != nil {
		return fmt.Errorf("opening the state file %s: %w; moving it aside: %w", path, reason, err)
	}
	return &QuarantinedError{Path: path, MovedTo: refused, Reason: reason}
}

// Save writes the state. It is on disk when Save returns without an error.
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

// Close closes the file and gives up its lock.
func (s *Store) Close() error { return s.db.Close() }
