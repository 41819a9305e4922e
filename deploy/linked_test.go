// Package deploy holds how the agent is built and started. Its test holds the agent to what the platform says of that.
package deploy

import (
	"debug/elf"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// dynamic tells what keeps a program from being linked at run time against the C library, where the platform puts its own
// library in between. A static one would run, and pass by all that.
func dynamic(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return fmt.Errorf("%s has no interpreter: it is linked statically; the build needs cgo on and -ldflags=-linkmode=external", path)
	}
	needed, err := f.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if !slices.ContainsFunc(needed, func(lib string) bool { return strings.HasPrefix(lib, "libc.so") }) {
		return fmt.Errorf("%s does not need the C library, only %q", path, needed)
	}
	return nil
}

func buildLine(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^build = "([^"]+)"`).FindSubmatch(text)
	if m == nil {
		t.Fatal("balancer.toml has no build line")
	}
	return string(m[1])
}

func TestTheAgentIsLinkedAgainstTheCLibrary(t *testing.T) {
	root := t.TempDir()
	line := strings.ReplaceAll(buildLine(t), "bin", filepath.Join(root, "bin"))
	build := exec.Command("/bin/sh", "-c", line)
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", line, err, out)
	}
	if err := dynamic(filepath.Join(root, "bin", "switchfork")); err != nil {
		t.Fatal(err)
	}
}

func TestAStaticProgramIsFound(t *testing.T) {
	root := t.TempDir()
	if err := os.WriteFile(filepath.Join(root, "main.go"), []byte("package main\n\nfunc main() {}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	build := exec.Command("go", "build", "-o", filepath.Join(root, "static"), filepath.Join(root, "main.go"))
	build.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if err := dynamic(filepath.Join(root, "static")); err == nil || !strings.Contains(err.Error(), "interpreter") {
		t.Fatalf("a static program passes: %v", err)
	}
}
