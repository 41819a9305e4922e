package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"
)

// openEnv names the folder that the test's own process opens as a child.
const openEnv = "SWITCHFORK_TEST_OPEN"

// A file whose bucket points outside the file is refused and does not end the process. What happened: bbolt checks a file's pages in a
// goroutine of its own, which the guard against faults of the mapped memory does not cover; a page number beyond the mapping ended the agent
// at its start with "unexpected fault address", and the file was not moved aside, so that every further start ended alike.
func TestBucketOutsideFileIsRefused(t *testing.T) {
	if folder := os.Getenv(openEnv); folder != "" {
		if _, _, err := Open(folder, testGroup, testAgent); !errors.Is(err, ErrCorrupt) {
			t.Errorf("opened with %v", err)
		}
		return
	}
	folder := t.TempDir()
	store, _ := openForTest(t, folder)
	saveForTest(t, store, 1)
	closeForTest(t, store)
	path := filepath.Join(folder, fileName)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	pointed := 0
	for at := 0; ; at += len(bucketName) {
		next := bytes.Index(content[at:], []byte(bucketName))
		if next < 0 {
			break
		}
		at += next
		binary.LittleEndian.PutUint64(content[at+len(bucketName):], 1<<30) // the bucket's root page
		pointed++
	}
	if pointed == 0 {
		t.Fatal("the file names no bucket")
	}
	if err = os.WriteFile(path, content, fileMode); err != nil {
		t.Fatal(err)
	}
	child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestBucketOutsideFileIsRefused$")
	child.Env = append(os.Environ(), openEnv+"="+folder)
	if output, err := child.CombinedOutput(); err != nil {
		t.Errorf("the process that opens it ends with %v: %.300s", err, output)
	}
}

// The check of a refused file is over when the file is closed. What happened: only the first damage that bbolt's check reports was taken;
// its goroutine went on, and read pages of a file that was about to be unmapped.
func TestCheckEndsBeforeClose(t *testing.T) {
	folder := t.TempDir()
	store, _ := openForTest(t, folder)
	for n := range uint64(20) {
		saveForTest(t, store, n+1)
	}
	closeForTest(t, store)
	path := filepath.Join(folder, fileName)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	freeListFlag := uint16(0x10)
	pageSize := os.Getpagesize()
	for page := 0; page+pageSize <= len(content); page += pageSize {
		if binary.LittleEndian.Uint16(content[page+8:]) == freeListFlag {
			binary.LittleEndian.PutUint16(content[page+10:], 0) // an empty free list: each free page is damage of its own
		}
	}
	if err = os.WriteFile(path, content, fileMode); err != nil {
		t.Fatal(err)
	}
	if _, _, err = Open(folder, testGroup, testAgent); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("opened with %v", err)
	}
	time.Sleep(100 * time.Millisecond) // a goroutine that has ended takes a moment to go
	stacks := make([]byte, 1<<20)
	if text := string(stacks[:runtime.Stack(stacks, true)]); strings.Contains(text, "bbolt.(*Tx).check") {
		t.Errorf("the check still runs: %s", text)
	}
}
