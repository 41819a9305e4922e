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
	"runtime/debug"
	"sync/atomic"
	"time"

	"switchfork/internal/cluster/election"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	fileName = "decider.db"
	fileMode = 0o600
	dirMode  = 0o700
	// lockTimeout is short: another process that has the file open does not close it soon.
	lockTimeout = time.Second
	// maxFileSize is ample for one small record that is written again and again, because bbolt reuses its free pages.
	maxFileSize = 1 << 20
	// anyAgent stands in Inspect's results for a file without a record.
	anyAgent = -1
)

// Names within the bbolt file; they are part of its format.
var (
	bucketName = []byte("decider")
	recordKey  = []byte("memory")
)

var (
	// ErrCorrupt marks a file that can't be relied on: damaged, or another agent's.
	ErrCorrupt = errors.New("damaged")
	// ErrLocked marks a file that another process has open.
	ErrLocked = errors.New("another process has it open")
)

// FileTooLargeError tells that the file has outgrown its bound, so that nothing more is written to it.
type FileTooLargeError struct{ Size int64 }

func (e *FileTooLargeError) Error() string {
	return fmt.Sprintf("state file has %d bytes, at most %d are allowed", e.Size, maxFileSize)
}

// Store is an open folder.
type Store struct {
	db    *bbolt.DB
	group uint64
	index int
}

// Open opens a replica's folder, which it makes if need be, and reads the state stored there; nil if nothing was ever saved. A file
// that is damaged or belongs to another agent is moved aside and refused.
func Open(folder string, group uint64, index int) (*Store, *election.DurableState, error) {
	if err := os.MkdirAll(folder, dirMode); err != nil {
		return nil, nil, fmt.Errorf("state folder: %w", err)
	}
	path := filepath.Join(folder, fileName)
	db, stored, err := openFile(path, false)
	if err == nil && stored != nil {
		if err = stored.checkOwner(group, index); err != nil {
			closeDamaged(db)
		}
	}
	if errors.Is(err, ErrCorrupt) {
		return nil, nil, quarantine(path, err)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Store{db: db, group: group, index: index}, stored.durableState(), nil
}

// quarantine renames a refused file, so that a later start begins without it, and returns the reason with the new name.
func quarantine(path string, reason error) error {
	refused := fmt.Sprintf("%s.refused-%d", path, time.Now().UnixNano())
	if err := os.Rename(path, refused); err != nil {
		return fmt.Errorf("%s: %w; moving it aside: %w", path, reason, err)
	}
	return fmt.Errorf("%s: %w; it is now %s", path, reason, refused)
}

// Inspect reads a folder without changing anything in it. Without a record, the state is nil and the agent's index -1.
func Inspect(folder string) (group uint64, index int, state *election.DurableState, err error) {
	path := filepath.Join(folder, fileName)
	if _, err = os.Stat(path); err != nil {
		return 0, 0, nil, err
	}
	db, stored, err := openFile(path, true)
	if err != nil {
		return 0, anyAgent, nil, fmt.Errorf("%s: %w", path, err)
	}
	_ = db.Close() // it was only read
	if stored == nil {
		return 0, anyAgent, nil, nil
	}
	return stored.Group, int(stored.Agent), stored.durableState(), nil
}

// openFile opens and checks a file, and reads its record; nil if there is none. Damage may show as an error, as a panic within
// bbolt, or as a fault of the mapped memory, which is made a panic here.
func openFile(path string, readOnly bool) (db *bbolt.DB, stored *record, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("%w: %v", ErrCorrupt, reason)
		}
		if err != nil {
			closeDamaged(db)
			db, stored = nil, nil
		}
	}()
	if err = checkNotEmpty(path); err != nil {
		return nil, nil, err
	}
	if db, err = openDatabase(path, readOnly); err != nil {
		return nil, nil, err
	}
	err = db.View(func(tx *bbolt.Tx) error {
		stored, err = readRecord(tx)
		return err
	})
	return db, stored, err
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
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
}

// readRecord checks all pages of the file before it reads the record.
func readRecord(tx *bbolt.Tx) (*record, error) {
	if err := touchBuckets(tx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if err := checkPages(tx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	bucket := tx.Bucket(bucketName)
	if bucket == nil {
		return nil, nil
	}
	raw := bucket.Get(recordKey)
	if raw == nil {
		return nil, nil
	}
	return decodeRecord(raw)
}

// touchBuckets reads whatever the file's buckets refer to. It comes before checkPages, whose goroutine belongs to bbolt: a page number
// beyond the mapped file faults here, where the fault becomes a panic that openFile recovers, and not there, where it ends the process.
func touchBuckets(tx *bbolt.Tx) error {
	return tx.ForEach(func(_ []byte, bucket *bbolt.Bucket) error { return touchBucket(bucket) })
}

func touchBucket(bucket *bbolt.Bucket) error {
	return bucket.ForEach(func(key, value []byte) error {
		touch(key)
		touch(value)
		if nested := bucket.Bucket(key); value == nil && nested != nil {
			return touchBucket(nested)
		}
		return nil
	})
}

// touched keeps the compiler from dropping the reads of touch.
var touched atomic.Uint32

// touch reads the first and the last byte of what a page refers to; no part between them is longer than the file.
func touch(content []byte) {
	if len(content) > 0 {
		touched.Store(uint32(content[0]) + uint32(content[len(content)-1]))
	}
}

// checkPages returns the first damage that bbolt finds. It takes all that is reported: the goroutine that reports reads the mapped file,
// and has to be over before the file is closed.
func checkPages(tx *bbolt.Tx) (first error) {
	for damage := range tx.Check() {
		if first == nil {
			first = damage
		}
	}
	return first
}

// closeDamaged closes a file that is refused anyway; bbolt may panic on its pages.
func closeDamaged(db *bbolt.DB) {
	if db == nil {
		return
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		_ = recover() // the file has been refused for its first fault
	}()
	_ = db.Close() // as above
}

// Save writes the state. It is on disk when Save returns without an error.
func (s *Store) Save(state election.DurableState) error {
	raw, err := encodeRecord(record{
		Format: recordFormat,
		Group:  s.group,
		Agent:  uint8(s.index),
		State:  state,
	})
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		if tx.Size() > maxFileSize {
			return &FileTooLargeError{tx.Size()}
		}
		bucket, err := tx.CreateBucketIfNotExists(bucketName)
		if err != nil {
			return err
		}
		return bucket.Put(recordKey, raw)
	})
}

// Close closes the file and gives up its lock.
func (s *Store) Close() error { return s.db.Close() }
