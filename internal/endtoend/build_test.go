package endtoend

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// buildProgram builds the program once for all tests and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "switchfork")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "switchfork")
	build := exec.CommandContext(context.Background(), "go", "build", "-race", "-o", path, "switchfork/cmd/switchfork")
	output, err := build.CombinedOutput()
	if err != nil {
		err = fmt.Errorf("building the program: %w: %s", err, output)
	}
	return path, err
})

// TestMain removes the binary that the tests have built.
func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildProgram(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path)) // if this fails, only a temporary file is left behind
	}
	os.Exit(code)
}
