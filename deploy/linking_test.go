// Package deploy holds the files with which the platform builds and starts the agent. Its tests check the program that is built from
// them, and CI's list of known test failures with the script that reads it.
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

// checkDynamicLinking returns an error unless a program is linked dynamically against the C library. The platform replaces functions of
// that library by its own. A statically linked program would run, but would bypass the platform's functions.
func checkDynamicLinking(path string) error {
	program, err := elf.Open(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = program.Close() }() // the file was only read
	isInterpreter := func(segment *elf.Prog) bool { return segment.Type == elf.PT_INTERP }
	if !slices.ContainsFunc(program.Progs, isInterpreter) {
		return fmt.Errorf("%s has no interpreter, so it is linked statically; expected a build with CGO_ENABLED=1 and -ldflags=-linkmode=external", path)
	}
	libraries, err := program.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if !slices.ContainsFunc(libraries, func(name string) bool { return strings.HasPrefix(name, "libc.so") }) {
		return fmt.Errorf("%s is not linked against the C library, only against %q", path, libraries)
	}
	return nil
}

// buildCommand returns the shell command with which the platform builds the agent.
func buildCommand(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^build = "([^"]+)"`).FindSubmatch(text)
	if match == nil {
		t.Fatal("balancer.toml has no build line")
	}
	return string(match[1])
}

func TestAgentLinksCLibrary(t *testing.T) {
	root := t.TempDir()
	command := strings.ReplaceAll(buildCommand(t), "bin", filepath.Join(root, "bin"))
	build := exec.CommandContext(t.Context(), "/bin/sh", "-c", command)
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", command, err, out)
	}
	if err := checkDynamicLinking(filepath.Join(root, "bin", "switchfork")); err != nil {
		t.Fatal(err)
	}
}

func TestStaticProgramIsDetected(t *testing.T) {
	root := t.TempDir()
	if err := os.WriteFile(filepath.Join(root, "main.go"), []byte("package main\n\nfunc main() {}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	build := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(root, "static"), filepath.Join(root, "main.go"))
	build.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if err := checkDynamicLinking(filepath.Join(root, "static")); err == nil || !strings.Contains(err.Error(), "interpreter") {
		t.Fatalf("static program: got error %v, want a missing interpreter", err)
	}
}
