package storage

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"switchfork/internal/cluster/election"
)

func memory(n uint64) election.DurableState {
	return election.DurableState{Promised: n, Accepted: n, LeaseHolder: 1, Newest: election.Record{Term: n, Index: 1}, Members: election.InitialMembers(3)}
}

// A memory is read again as it was kept; a folder of another agent or group is refused, and nothing in it is lost.
func TestKeepAndOpen(t *testing.T) {
	dir := t.TempDir()
	v, m, err := Open(dir, 5, 1)
	if err != nil || m != nil {
		t.Fatalf("a new folder gives %v, %v", m, err)
	}
	for n := range uint64(300) {
		if err = v.Save(memory(n + 1)); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err = Open(dir, 5, 1); err == nil || errors.Is(err, ErrCorrupt) {
		t.Errorf("a folder that is open gives %v", err)
	}
	v.Close()
	if info, err := os.Stat(filepath.Join(dir, fileName)); err != nil || info.Size() > 256<<10 {
		t.Errorf("after 300 syncs the file has %d bytes, %v", info.Size(), err)
	}
	if group, me, m, err := Inspect(dir); err != nil || group != 5 || me != 1 || m == nil || *m != memory(300) {
		t.Errorf("a look gives %d %d %v %v", group, me, m, err)
	}
	v, m, err = Open(dir, 5, 1)
	if err != nil || m == nil || *m != memory(300) {
		t.Fatalf("kept as %v, %v", m, err)
	}
	v.Close()
	if _, _, err = Open(dir, 5, 2); !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), "agent 1") {
		t.Errorf("another agent's folder gives %v", err)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, fileName+".refused-*")); len(left) != 1 {
		t.Errorf("set aside: %v", left)
	}
}

// Cut off at any length, or with any page spoilt, a file is refused or holds exactly what was kept; never something else.
func TestDamagedFiles(t *testing.T) {
	dir := t.TempDir()
	v, _, err := Open(dir, 5, 1)
	if err != nil {
		t.Fatal(err)
	}
	for n := range uint64(5) {
		if err = v.Save(memory(n + 1)); err != nil {
			t.Fatal(err)
		}
	}
	v.Close()
	whole, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	try := func(what string, b []byte) {
		at := t.TempDir()
		if err := os.WriteFile(filepath.Join(at, fileName), b, 0o600); err != nil {
			t.Fatal(err)
		}
		v, m, err := Open(at, 5, 1)
		switch {
		case errors.Is(err, ErrCorrupt):
			refused++
		case err != nil:
			t.Errorf("%s: %v", what, err)
		case m == nil || *m != memory(5) && *m != memory(4):
			t.Errorf("%s: taken as %v", what, m)
		}
		if err == nil {
			v.Close()
		}
	}
	for n := 0; n < len(whole); n += 1024 {
		try(fmt.Sprintf("cut off at %d", n), whole[:n])
	}
	if refused == 0 {
		t.Error("no file that was cut off was refused")
	}
	refused = 0
	for n := 0; n+64 <= len(whole); n += 512 {
		b := append([]byte(nil), whole...)
		for i := range 64 {
			b[n+i] ^= 0xa5
		}
		try(fmt.Sprintf("spoilt at %d", n), b)
	}
	if refused == 0 {
		t.Error("no spoilt file was refused")
	}
	try("foreign", []byte(strings.Repeat("a page of something else", 4096)))
}

// The store stops after the nth byte of a write: the pages of the new state have got to the disk up to there, in the order in
// which the store writes them, data before the page that makes it count. What opens is the old state or the new.
func TestStopsAfterTheNthByte(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, fileName)
	v, _, err := Open(dir, 5, 1)
	if err != nil {
		t.Fatal(err)
	}
	v.Save(memory(1))
	v.Save(memory(2))
	v.Close()
	before, _ := os.ReadFile(file)
	if v, _, err = Open(dir, 5, 1); err != nil {
		t.Fatal(err)
	}
	v.Save(memory(3))
	v.Close()
	after, _ := os.ReadFile(file)
	page := os.Getpagesize()
	var order []int
	for _, heads := range []bool{false, true} {
		for at := 0; at < len(after); at++ {
			if (at < 2*page) == heads && (at >= len(before) || before[at] != after[at]) {
				order = append(order, at)
			}
		}
	}
	olds, news := 0, 0
	for stop := 0; stop <= len(order); stop++ {
		torn := append([]byte(nil), before...)
		if len(after) > len(torn) {
			torn = append(torn, make([]byte, len(after)-len(torn))...)
		}
		for _, at := range order[:stop] {
			torn[at] = after[at]
		}
		at := filepath.Join(dir, fmt.Sprint(stop))
		os.Mkdir(at, 0o700)
		os.WriteFile(filepath.Join(at, fileName), torn, 0o600)
		v, m, err := Open(at, 5, 1)
		if err != nil {
			t.Fatalf("stopped after %d of %d bytes: %v", stop, len(order), err)
		}
		switch *m {
		case memory(2):
			olds++
		case memory(3):
			news++
		default:
			t.Errorf("stopped after %d bytes: %v", stop, *m)
		}
		v.Close()
	}
	if olds == 0 || news == 0 {
		t.Errorf("%d opened as the old state, %d as the new", olds, news)
	}
}

// A process that is killed while it keeps one memory after another has lost none that it had answered for.
func TestKilledWhileKeeping(t *testing.T) {
	if dir := os.Getenv("VAULT_CHILD"); dir != "" {
		v, m, err := Open(dir, 5, 1)
		if err != nil {
			fmt.Println("fault", err)
			os.Exit(1)
		}
		n := uint64(0)
		if m != nil {
			n = m.Promised
		}
		for {
			n++
			if err := v.Save(memory(n)); err != nil {
				os.Exit(1)
			}
			fmt.Println(n)
		}
	}
	dir := t.TempDir()
	answered := uint64(0)
	for round, killed := 0, 0; killed < 5; round++ { // rounds in which it was killed before it kept anything don't count
		if round > 60 {
			t.Fatal("the child never comes to keep anything")
		}
		c := exec.Command(os.Args[0], "-test.run=TestKilledWhileKeeping")
		c.Env = append(os.Environ(), "VAULT_CHILD="+dir)
		var out strings.Builder
		c.Stdout = &out
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(60+37*round) * time.Millisecond)
		c.Process.Kill()
		c.Wait()
		if out.Len() > 0 {
			killed++
		}
		lines := strings.Split(out.String(), "\n")
		for _, l := range lines[:len(lines)-1] {
			var n uint64
			if _, err := fmt.Sscan(l, &n); err != nil {
				t.Fatalf("round %d: the child says %q", round, l)
			}
			answered = max(answered, n)
		}
		v, m, err := Open(dir, 5, 1)
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		v.Close()
		if m != nil && m.Promised < answered || m == nil && answered > 0 {
			t.Fatalf("round %d: answered for %d, kept %v", round, answered, m)
		}
	}
}
