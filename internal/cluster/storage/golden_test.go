package storage

import (
	"os"
	"path/filepath"
	"testing"

	"switchfork/internal/cluster/election"
)

// goldenMemory is what the file of testdata holds; an earlier version of the program wrote it.
var goldenMemory = election.DurableState{
	Promised: 0x0b02, Accepted: 0x0a01, Released: 0x0901, LeaseHolder: 2,
	Newest:  election.Record{Term: 0x0a01, Index: 7, Decision: election.Decision{Build: 42, Stage: 3, Verdict: election.RollBack}, Prior: election.Advance},
	Members: election.Members{Term: 0x0801, Version: 4, Mask: 0b10111},
}

const (
	goldenGroup = 0xfeedc0de12345678
	goldenAgent = 4
)

// A state file of an earlier version is read, and written again.
func TestGoldenStateFile(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", fileName))
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err = os.WriteFile(filepath.Join(folder, fileName), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	group, me, memory, err := Inspect(folder)
	if err != nil || group != goldenGroup || me != goldenAgent || memory == nil || *memory != goldenMemory {
		t.Fatalf("a look gives group %x, agent %d, %+v, %v", group, me, memory, err)
	}
	v, memory, err := Open(folder, goldenGroup, goldenAgent)
	if err != nil || memory == nil || *memory != goldenMemory {
		t.Fatalf("opened as %+v, %v", memory, err)
	}
	defer v.Close()
	next := goldenMemory
	next.Promised++
	if err = v.Save(next); err != nil {
		t.Errorf("not written again: %v", err)
	}
}
