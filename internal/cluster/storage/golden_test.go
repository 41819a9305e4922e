package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"switchfork/internal/cluster/election"

	"go.etcd.io/bbolt"
)

// goldenState is the state in the file in testdata, which an earlier version of the program wrote.
var goldenState = election.DurableState{
	Promised: 0x0b02, Accepted: 0x0a01, Released: 0x0901, LeaseHolder: 2,
	Newest:  election.Record{Term: 0x0a01, Index: 7, Decision: election.Decision{Build: 42, Stage: 3, Verdict: election.Rollback}, Prior: election.Advance},
	Members: election.Members{Term: 0x0801, Version: 4, Mask: 0b10111},
}

const (
	goldenGroup = 0xfeedc0de12345678
	goldenAgent = 4
)

// A state file of an earlier version can be read, and a new state can be saved to it.
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
		t.Fatalf("Inspect: got %+v and the error %v, want the golden state", contents, err)
	}
	store, state, err := Open(folder, goldenGroup, goldenAgent)
	if err != nil || state == nil || *state != goldenState {
		t.Fatalf("Open: got %+v and the error %v, want the golden state", state, err)
	}
	defer closeForTest(t, store)
	next := goldenState
	next.Promised++
	if err = store.Save(next); err != nil {
		t.Errorf("saving to the golden file: %v", err)
	}
}

// A record is encoded to the same bytes as by an earlier version, so that the earlier version can read it too.
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
			t.Errorf("the golden file holds the record %x, but it is now encoded as %x", raw, encoded)
		}
		return nil
	})
	if err != nil || stored == nil || stored.State != goldenState {
		t.Errorf("reading the record: got %+v and the error %v, want the golden state", stored, err)
	}
}
