package endtoend

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// buildProgram builds the program once for all tests, with the race detector, and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) { return build("-race") })

// buildPlainProgram builds the program without the race detector, which takes much memory, once for all tests that need it.
var buildPlainProgram = sync.OnceValues(func() (string, error) { return build() })

// buildDir is the folder of the programs that the tests have built.
var buildDir = sync.OnceValues(func() (string, error) { return os.MkdirTemp("", "switchfork") })

// build builds the program with the given flags and returns its path.
func build(flags ...string) (string, error) {
	dir, err := buildDir()
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "switchfork"+strings.Join(flags, ""))
	args := append([]string{"build", "-o", path}, append(flags, "switchfork/cmd/switchfork")...)
	output, err := exec.CommandContext(context.Background(), "go", args...).CombinedOutput()
	if err != nil {
		err = fmt.Errorf("building the program: %w: %s", err, output)
	}
	return path, err
}

// TestMain removes the binary that the tests have built.
func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := buildDir(); err == nil {
		_ = os.RemoveAll(dir) // if this fails, only a temporary file is left behind
	}
	os.Exit(code)
}
