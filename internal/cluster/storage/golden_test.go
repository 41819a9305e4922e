package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"switchfork/internal/cluster/election"

	"go.etcd.io/bbolt"
)

// goldenState is what the file of testdata holds; an earlier version of the program wrote it.
var goldenState = election.DurableState{
	Promised: 0x0b02, Accepted: 0x0a01, Released: 0x0901, LeaseHolder: 2,
	Newest:  election.Record{Term: 0x0a01, Index: 7, Decision: election.Decision{Build: 42, Stage: 3, Verdict: election.Rollback}, Prior: election.Advance},
	Members: election.Members{Term: 0x0801, Version: 4, Mask: 0b10111},
}

const (
	goldenGroup = 0xfeedc0de12345678
	goldenAgent = 4
)

// A state file of an earlier version is read, and written again.
func TestGoldenStateFile(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("testdata", fileName))
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err = os.WriteFile(filepath.Join(folder, fileName), content, fileMode); err != nil {
		t.Fatal(err)
	}
	contents, err := Inspect(folder)
	if err != nil || contents.Group != goldenGroup || contents.Agent != goldenAgent || contents.State == nil || *contents.State != goldenState {
		t.Fatalf("inspected as %+v, %v", contents, err)
	}
	store, state, err := Open(folder, goldenGroup, goldenAgent)
	if err != nil || state == nil || *state != goldenState {
		t.Fatalf("opened as %+v, %v", state, err)
	}
	defer closeForTest(t, store)
	next := goldenState
	next.Promised++
	if err = store.Save(next); err != nil {
		t.Errorf("not written again: %v", err)
	}
}

// The record's bytes stay as an earlier version wrote them, so that it can read them too.
func TestGoldenRecord(t *testing.T) {
	db, stored, err := openFile(filepath.Join("testdata", fileName), true)
	if err != nil {
		t.Fatal(err)
	}
	defer closeDamaged(db)
	encoded, err := encodeRecord(record{Format: 1, Group: goldenGroup, Agent: goldenAgent, State: goldenState})
	if err != nil {
		t.Fatal(err)
	}
	err = db.View(func(tx *bbolt.Tx) error {
		if raw := tx.Bucket([]byte("decider")).Get([]byte("memory")); !bytes.Equal(raw, encoded) {
			t.Errorf("the file holds %x, encoded now as %x", raw, encoded)
		}
		return nil
	})
	if err != nil || stored == nil || stored.State != goldenState {
		t.Errorf("read as %+v, %v", stored, err)
	}
}
