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

// openFolderEnv is the environment variable with the folder that a child process of TestBucketOutsideFileIsRefused opens.
const openFolderEnv = "SWITCHFORK_TEST_OPEN"

// Open refuses a file whose bucket points outside the file, and the process continues to run. bbolt checks the pages of a file in
// a separate goroutine, in which guardMappedMemory can't catch a memory fault. A page number beyond the mapped file once ended
// the agent at its start with "unexpected fault address". The file was not renamed, so every further start failed in the same
// way.
func TestBucketOutsideFileIsRefused(t *testing.T) {
	if folder := os.Getenv(openFolderEnv); folder != "" {
		if _, _, err := Open(folder, testGroup, testAgent); !errors.Is(err, ErrCorrupt) {
			t.Errorf("opening the folder: got %v, want ErrCorrupt", err)
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
		t.Fatal("the file does not contain the name of the bucket, which the test has to damage")
	}
	if err = os.WriteFile(path, content, fileMode); err != nil {
		t.Fatal(err)
	}
	child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestBucketOutsideFileIsRefused$")
	child.Env = append(os.Environ(), openFolderEnv+"="+folder)
	if output, err := child.CombinedOutput(); err != nil {
		t.Errorf("the process that opens the folder ended with %v: %.300s", err, output)
	}
}

// The check of a refused file has ended when the file is closed. checkPages once received only the first damage that bbolt's check
// reports. The goroutine of the check then continued to read pages of a file that was about to be unmapped.
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
			binary.LittleEndian.PutUint16(content[page+10:], 0) // with an empty free list, each free page is reported as damage
		}
	}
	if err = os.WriteFile(path, content, fileMode); err != nil {
		t.Fatal(err)
	}
	if _, _, err = Open(folder, testGroup, testAgent); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("opening the damaged file: got %v, want ErrCorrupt", err)
	}
	time.Sleep(100 * time.Millisecond) // a goroutine that is ending takes a moment to disappear from the stacks
	stacks := make([]byte, 1<<20)
	if text := string(stacks[:runtime.Stack(stacks, true)]); strings.Contains(text, "bbolt.(*Tx).check") {
		t.Errorf("the check still runs after the file was closed: %s", text)
	}
}
