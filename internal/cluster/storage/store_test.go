package storage

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"switchfork/internal/cluster/election"

	"go.etcd.io/bbolt"
)

const (
	testGroup = 5
	testAgent = 1
)

// numberedState returns a state that differs for each number.
func numberedState(n uint64) election.DurableState {
	return election.DurableState{
		Promised:    n,
		Accepted:    n,
		LeaseHolder: 1,
		Newest:      election.Record{Term: n, Index: 1},
		Members:     election.InitialMembers(3),
	}
}

func openForTest(t *testing.T, dir string) (*Store, *election.DurableState) {
	t.Helper()
	store, state, err := Open(dir, testGroup, testAgent)
	if err != nil {
		t.Fatal(err)
	}
	return store, state
}

func saveForTest(t *testing.T, store *Store, n uint64) {
	t.Helper()
	if err := store.Save(numberedState(n)); err != nil {
		t.Fatal(err)
	}
}

func closeForTest(t *testing.T, store *Store) {
	t.Helper()
	if err := store.Close(); err != nil {
		t.Error(err)
	}
}

// A state is read again as it was saved; a folder of another agent is refused, and its file stays beside.
func TestSaveAndOpen(t *testing.T) {
	dir := t.TempDir()
	store, state := openForTest(t, dir)
	if state != nil {
		t.Fatalf("a new folder gives %v", state)
	}
	const saves = 300
	for n := range uint64(saves) {
		saveForTest(t, store, n+1)
	}
	if _, _, err := Open(dir, testGroup, testAgent); !errors.Is(err, ErrLocked) || errors.Is(err, ErrCorrupt) {
		t.Errorf("a folder that is open gives %v", err)
	}
	closeForTest(t, store)
	if info, err := os.Stat(filepath.Join(dir, fileName)); err != nil || info.Size() > 256<<10 {
		t.Errorf("after %d syncs the file has %d bytes, %v", saves, info.Size(), err)
	}
	contents, err := Inspect(dir)
	if err != nil || contents.Group != testGroup || contents.Agent != testAgent || contents.State == nil || *contents.State != numberedState(saves) {
		t.Errorf("inspected as %+v %v", contents, err)
	}
	store, state = openForTest(t, dir)
	if state == nil || *state != numberedState(saves) {
		t.Fatalf("opened as %v", state)
	}
	closeForTest(t, store)
	_, _, err = Open(dir, testGroup, testAgent+1)
	if !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), "agent 1") {
		t.Errorf("another agent's folder gives %v", err)
	}
	stored, expected := Owner{testGroup, testAgent}, Owner{testGroup, testAgent + 1}
	var wrong *WrongOwnerError
	if !errors.As(err, &wrong) || wrong.Stored != stored || wrong.Expected != expected {
		t.Errorf("another agent's folder gives %#v", wrong)
	}
	var quarantined *QuarantinedError
	refused, _ := filepath.Glob(filepath.Join(dir, fileName+".refused-*"))
	if len(refused) != 1 || !errors.As(err, &quarantined) || quarantined.MovedTo != refused[0] {
		t.Errorf("moved aside: %v, the error is %v", refused, err)
	}
}

// A file that is cut off at any length, or has any page damaged, is refused or holds exactly what was saved.
func TestDamagedFiles(t *testing.T) {
	dir := t.TempDir()
	store, _ := openForTest(t, dir)
	for n := range uint64(5) {
		saveForTest(t, store, n+1)
	}
	closeForTest(t, store)
	whole, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	try := func(damage string, content []byte) {
		damaged := t.TempDir()
		if err := os.WriteFile(filepath.Join(damaged, fileName), content, fileMode); err != nil {
			t.Fatal(err)
		}
		store, state, err := Open(damaged, testGroup, testAgent)
		switch {
		case errors.Is(err, ErrCorrupt):
			refused++
		case err != nil:
			t.Errorf("%s: %v", damage, err)
		case state == nil || *state != numberedState(5) && *state != numberedState(4):
			t.Errorf("%s: opened as %v", damage, state)
		}
		if err == nil {
			closeForTest(t, store)
		}
	}
	for size := 0; size < len(whole); size += 1024 {
		try(fmt.Sprintf("cut off at %d", size), whole[:size])
	}
	if refused == 0 {
		t.Error("no file that was cut off was refused")
	}
	refused = 0
	for at := 0; at+64 <= len(whole); at += 512 {
		content := slices.Clone(whole)
		for i := range 64 {
			content[at+i] ^= 0xa5
		}
		try(fmt.Sprintf("damaged at %d", at), content)
	}
	if refused == 0 {
		t.Error("no damaged file was refused")
	}
	try("foreign", []byte(strings.Repeat("a page of something else", 4096)))
}

// The machine stops after the nth byte of a write: the pages of the new state have got to the disk up to there, in the order in
// which the store writes them, data before the meta page that makes it count. What opens is the old state or the new.
func TestTornWriteOpensOldOrNewState(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, fileName)
	store, _ := openForTest(t, dir)
	saveForTest(t, store, 1)
	saveForTest(t, store, 2)
	closeForTest(t, store)
	before, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	store, _ = openForTest(t, dir)
	saveForTest(t, store, 3)
	closeForTest(t, store)
	after, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	order := writeOrder(before, after)
	opensOld, opensNew := 0, 0
	for stop := 0; stop <= len(order); stop++ {
		torn := slices.Clone(before)
		if len(after) > len(torn) {
			torn = append(torn, make([]byte, len(after)-len(torn))...)
		}
		for _, at := range order[:stop] {
			torn[at] = after[at]
		}
		tornDir := filepath.Join(dir, strconv.Itoa(stop))
		if err := os.Mkdir(tornDir, dirMode); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(tornDir, fileName), torn, fileMode); err != nil {
			t.Fatal(err)
		}
		store, state, err := Open(tornDir, testGroup, testAgent)
		if err != nil {
			t.Fatalf("stopped after %d of %d bytes: %v", stop, len(order), err)
		}
		switch *state {
		case numberedState(2):
			opensOld++
		case numberedState(3):
			opensNew++
		default:
			t.Errorf("stopped after %d bytes: %v", stop, *state)
		}
		closeForTest(t, store)
	}
	if opensOld == 0 || opensNew == 0 {
		t.Errorf("%d opened as the old state, %d as the new", opensOld, opensNew)
	}
}

// writeOrder lists the bytes that differ, those of the two meta pages at the file's start last.
func writeOrder(before, after []byte) (order []int) {
	metaSize := 2 * os.Getpagesize()
	for _, isMeta := range []bool{false, true} {
		for at := range after {
			if (at < metaSize) == isMeta && (at >= len(before) || before[at] != after[at]) {
				order = append(order, at)
			}
		}
	}
	return order
}

// childDirVariable names the folder in which a child process of TestKilledWhileSaving saves.
const childDirVariable = "STORAGE_TEST_CHILD_DIR"

// saveUntilKilled saves one state after another, and prints each number once it is saved.
func saveUntilKilled(dir string) {
	store, state, err := Open(dir, testGroup, testAgent)
	if err != nil {
		fmt.Println("fault", err)
		os.Exit(1)
	}
	n := uint64(0)
	if state != nil {
		n = state.Promised
	}
	for {
		n++
		if err := store.Save(numberedState(n)); err != nil {
			os.Exit(1)
		}
		fmt.Println(n)
	}
}

// A process that is killed while it saves one state after another has lost none that it had reported as saved.
func TestKilledWhileSaving(t *testing.T) {
	if dir := os.Getenv(childDirVariable); dir != "" {
		saveUntilKilled(dir)
	}
	dir := t.TempDir()
	reported := uint64(0)
	for round, killed := 0, 0; killed < 5; round++ { // rounds in which it was killed before it saved anything don't count
		if round > 60 {
			t.Fatal("the child never comes to save anything")
		}
		child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=TestKilledWhileSaving")
		child.Env = append(os.Environ(), childDirVariable+"="+dir)
		var out strings.Builder
		child.Stdout = &out
		if err := child.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(60+37*round) * time.Millisecond)
		_ = child.Process.Kill() // it may have ended by itself, which its output shows
		_ = child.Wait()         // it was killed
		if out.Len() > 0 {
			killed++
		}
		printed := strings.Split(out.String(), "\n")
		for _, text := range printed[:len(printed)-1] {
			var n uint64
			if _, err := fmt.Sscan(text, &n); err != nil {
				t.Fatalf("round %d: the child says %q", round, text)
			}
			reported = max(reported, n)
		}
		store, state, err := Open(dir, testGroup, testAgent)
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		closeForTest(t, store)
		if state != nil && state.Promised < reported || state == nil && reported > 0 {
			t.Fatalf("round %d: reported %d, stored %v", round, reported, state)
		}
	}
}

// Nothing is saved to a file that has outgrown its bound.
func TestFileTooLarge(t *testing.T) {
	store, _ := openForTest(t, t.TempDir())
	defer closeForTest(t, store)
	saveForTest(t, store, 1)
	err := store.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket([]byte(bucketName)).Put([]byte("padding"), make([]byte, maxFileBytes))
	})
	if err != nil {
		t.Fatal(err)
	}
	var tooLarge *FileTooLargeError
	if err = store.Save(numberedState(2)); !errors.As(err, &tooLarge) || tooLarge.Size <= maxFileBytes {
		t.Errorf("saving to a file of over %d bytes gives %v", maxFileBytes, err)
	}
}
