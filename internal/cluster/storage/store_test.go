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

// numberedState returns a state that is different for each n.
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

// Open returns the state that was last saved. A folder of another agent is refused, and its file is renamed.
func TestSaveAndOpen(t *testing.T) {
	dir := t.TempDir()
	store, state := openForTest(t, dir)
	if state != nil {
		t.Fatalf("a new folder: got the state %v, want none", state)
	}
	const saves = 300
	for n := range uint64(saves) {
		saveForTest(t, store, n+1)
	}
	if _, _, err := Open(dir, testGroup, testAgent); !errors.Is(err, ErrLocked) || errors.Is(err, ErrCorrupt) {
		t.Errorf("a folder that is open: got %v, want ErrLocked and not ErrCorrupt", err)
	}
	closeForTest(t, store)
	if info, err := os.Stat(filepath.Join(dir, fileName)); err != nil || info.Size() > 256<<10 {
		t.Errorf("after %d saves the file has %d bytes, want at most 256 KiB; error %v", saves, info.Size(), err)
	}
	contents, err := Inspect(dir)
	if err != nil || contents.Group != testGroup || contents.Agent != testAgent || contents.State == nil || *contents.State != numberedState(saves) {
		t.Errorf("Inspect: got %+v and the error %v, want the last saved state", contents, err)
	}
	store, state = openForTest(t, dir)
	if state == nil || *state != numberedState(saves) {
		t.Fatalf("Open: got the state %v, want the last saved state", state)
	}
	closeForTest(t, store)
	_, _, err = Open(dir, testGroup, testAgent+1)
	if !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), "agent 1") {
		t.Errorf("another agent's folder: got %v, want ErrCorrupt that names agent 1", err)
	}
	stored, expected := Owner{testGroup, testAgent}, Owner{testGroup, testAgent + 1}
	var wrong *WrongOwnerError
	if !errors.As(err, &wrong) || wrong.Stored != stored || wrong.Expected != expected {
		t.Errorf("another agent's folder: got %#v, want the stored and the expected owner", wrong)
	}
	var quarantined *QuarantinedError
	refused, _ := filepath.Glob(filepath.Join(dir, fileName+".refused-*"))
	if len(refused) != 1 || !errors.As(err, &quarantined) || quarantined.MovedTo != refused[0] {
		t.Errorf("got the renamed files %v and the error %v, want one file, named in the error", refused, err)
	}
}

// A file that is truncated at any length, or has any page damaged, is refused or gives one of the last two saved states.
func TestDamagedFiles(t *testing.T) {
	dir := t.TempDir()
	store, _ := openForTest(t, dir)
	for n := range uint64(5) {
		saveForTest(t, store, n+1)
	}
	closeForTest(t, store)
	intact, err := os.ReadFile(filepath.Join(dir, fileName))
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
			t.Errorf("%s: got the state %v, want one of the last two saved", damage, state)
		}
		if err == nil {
			closeForTest(t, store)
		}
	}
	for size := 0; size < len(intact); size += 1024 {
		try(fmt.Sprintf("truncated to %d bytes", size), intact[:size])
	}
	if refused == 0 {
		t.Error("no truncated file was refused")
	}
	refused = 0
	for at := 0; at+64 <= len(intact); at += 512 {
		content := slices.Clone(intact)
		for i := range 64 {
			content[at+i] ^= 0xa5
		}
		try(fmt.Sprintf("damaged from byte %d on", at), content)
	}
	if refused == 0 {
		t.Error("no damaged file was refused")
	}
	try("foreign", []byte(strings.Repeat("a page of something else", 4096)))
}

// If the machine stops during a write, the file opens with the old state or with the new one. The test simulates a stop after each
// byte: the pages of the new state have reached the disk up to that byte, in the order in which the store writes them. The data is
// written before the meta page that makes it valid.
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
			t.Fatalf("stopped after %d of %d bytes: opening the folder: %v", stop, len(order), err)
		}
		switch *state {
		case numberedState(2):
			opensOld++
		case numberedState(3):
			opensNew++
		default:
			t.Errorf("stopped after %d bytes: got %v, want the old or the new state", stop, *state)
		}
		closeForTest(t, store)
	}
	if opensOld == 0 || opensNew == 0 {
		t.Errorf("%d files opened with the old state and %d with the new one, want at least one of each", opensOld, opensNew)
	}
}

// writeOrder lists the offsets of the bytes that differ between before and after. Offsets in the two meta pages at the start of
// the file come last.
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

// childDirEnv is the environment variable with the folder in which a child process of TestKilledWhileSaving saves.
const childDirEnv = "STORAGE_TEST_CHILD_DIR"

// saveUntilKilled saves one numbered state after another, and prints each number once its state is saved.
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

// A process that is killed while it saves one state after another loses no state that it has reported as saved.
func TestKilledWhileSaving(t *testing.T) {
	if dir := os.Getenv(childDirEnv); dir != "" {
		saveUntilKilled(dir)
	}
	dir := t.TempDir()
	reported := uint64(0)
	for round, killed := 0, 0; killed < 5; round++ { // rounds in which the child saved nothing before it was killed don't count
		if round > 60 {
			t.Fatal("the child process saved a state in fewer than 5 of 61 rounds")
		}
		child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=TestKilledWhileSaving")
		child.Env = append(os.Environ(), childDirEnv+"="+dir)
		var out strings.Builder
		child.Stdout = &out
		if err := child.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(60+37*round) * time.Millisecond)
		_ = child.Process.Kill() // fails if the child has already ended, which its output shows
		_ = child.Wait()         // reports that the child was killed
		if out.Len() > 0 {
			killed++
		}
		printed := strings.Split(out.String(), "\n")
		for _, text := range printed[:len(printed)-1] {
			var n uint64
			if _, err := fmt.Sscan(text, &n); err != nil {
				t.Fatalf("round %d: the child printed %q, want a number", round, text)
			}
			reported = max(reported, n)
		}
		store, state, err := Open(dir, testGroup, testAgent)
		if err != nil {
			t.Fatalf("round %d: opening the folder: %v", round, err)
		}
		closeForTest(t, store)
		if state != nil && state.Promised < reported || state == nil && reported > 0 {
			t.Fatalf("round %d: state %d was reported as saved, but the stored state is %v", round, reported, state)
		}
	}
}

// Nothing is saved to a file that is larger than allowed.
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
		t.Errorf("saving to a file of over %d bytes: got %v, want FileTooLargeError with the size", maxFileBytes, err)
	}
}
