// Package storage keeps what a decider must not forget in a folder, in one bbolt file that is synced before anything is
// answered for. It owns the file and its form; it must never use a part of a file that is damaged, nor decide anything.
package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"switchfork/internal/cluster/election"

	"go.etcd.io/bbolt"
)

const (
	fileName = "decider.db"
	form     = 1
	// lockWait: another process that has the folder does not let go of it soon.
	lockWait = time.Second
	// sizeMost: one small record, written in place of the one before; bbolt uses its free pages again.
	sizeMost = 1 << 20
)

var bucket, key = []byte("decider"), []byte("memory")

// entry is the record as it stands in the file, little-endian.
type entry struct {
	Form   uint32
	Group  uint64
	Me     uint8
	Memory election.DurableState
}

// Store is an open folder.
type Store struct {
	db    *bbolt.DB
	group uint64
	me    int
}

// ErrCorrupt is of a file that can't be relied on.
var ErrCorrupt = errors.New("damaged")

// Open opens a folder, and reads what is kept there; nil: nothing was ever kept. A file that is torn, cut off or another
// agent's is moved aside and refused.
func Open(folder string, group uint64, me int) (*Store, *election.DurableState, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, fmt.Errorf("state folder: %w", err)
	}
	path := filepath.Join(folder, fileName)
	v := &Store{group: group, me: me}
	memory, err := v.open(path, false)
	if errors.Is(err, ErrCorrupt) {
		aside := fmt.Sprintf("%s.refused-%d", path, time.Now().UnixNano())
		if moved := os.Rename(path, aside); moved != nil {
			return nil, nil, fmt.Errorf("%s: %w; moving it aside: %w", path, err, moved)
		}
		return nil, nil, fmt.Errorf("%s: %w; it is now %s", path, err, aside)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return v, memory, nil
}

// Inspect reads a folder without changing anything in it.
func Inspect(folder string) (group uint64, me int, memory *election.DurableState, err error) {
	path := filepath.Join(folder, fileName)
	if _, err = os.Stat(path); err != nil {
		return 0, 0, nil, err
	}
	v := &Store{me: -1}
	memory, err = v.open(path, true)
	if v.db != nil {
		v.db.Close()
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return v.group, v.me, memory, err
}

// open opens and checks a file. Damage may show as an error, a panic or a fault of the mapped file.
func (v *Store) open(path string, look bool) (memory *election.DurableState, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			memory, err = nil, fmt.Errorf("%w: %v", ErrCorrupt, p)
		}
		if err != nil && v.db != nil {
			db := v.db
			v.db = nil
			func() {
				defer func() { recover() }()
				db.Close()
			}()
		}
	}()
	if info, err := os.Stat(path); err == nil && info.Size() == 0 {
		return nil, fmt.Errorf("%w: the file is empty", ErrCorrupt)
	}
	v.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait, ReadOnly: look})
	switch {
	case errors.Is(err, bbolt.ErrTimeout):
		return nil, errors.New("another process has it open")
	case errors.Is(err, os.ErrPermission):
		return nil, err
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	err = v.db.View(func(tx *bbolt.Tx) error {
		for bad := range tx.Check() {
			return fmt.Errorf("%w: %w", ErrCorrupt, bad)
		}
		b := tx.Bucket(bucket)
		if b == nil {
			return nil
		}
		raw := b.Get(key)
		if raw == nil {
			return nil
		}
		e, err := read(raw)
		switch {
		case err != nil:
			return err
		case v.me < 0:
			v.group, v.me = e.Group, int(e.Me)
		case e.Group != v.group || int(e.Me) != v.me:
			return fmt.Errorf("%w: it is agent %d's of group %016x, not agent %d's of %016x", ErrCorrupt, e.Me, e.Group, v.me, v.group)
		}
		memory = &e.Memory
		return nil
	})
	return memory, err
}

func read(raw []byte) (e entry, err error) {
	if len(raw) != binary.Size(e)+4 {
		return e, fmt.Errorf("%w: a record of %d bytes, expected %d", ErrCorrupt, len(raw), binary.Size(e)+4)
	}
	body := raw[:len(raw)-4]
	if crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(raw[len(body):]) {
		return e, fmt.Errorf("%w: the record's sum is wrong", ErrCorrupt)
	}
	if _, err = binary.Decode(body, binary.LittleEndian, &e); err == nil && e.Form != form {
		err = fmt.Errorf("%w: a record of form %d, expected %d", ErrCorrupt, e.Form, form)
	}
	return e, err
}

// Save writes a memory; when it returns without an error, it is on the disk.
func (v *Store) Save(m election.DurableState) error {
	var b bytes.Buffer
	if err := binary.Write(&b, binary.LittleEndian, entry{form, v.group, uint8(v.me), m}); err != nil {
		return err
	}
	raw := binary.LittleEndian.AppendUint32(b.Bytes(), crc32.ChecksumIEEE(b.Bytes()))
	return v.db.Update(func(tx *bbolt.Tx) error {
		if tx.Size() > sizeMost {
			return fmt.Errorf("state file has %d bytes, at most %d are allowed", tx.Size(), sizeMost)
		}
		at, err := tx.CreateBucketIfNotExists(bucket)
		if err != nil {
			return err
		}
		return at.Put(key, raw)
	})
}

// Close lets go of the folder.
func (v *Store) Close() error { return v.db.Close() }
