package endtoend

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
)

// The program with an operator's file: no more in than it says, a flood refused with a time to come back, and all who were
// let in answered; SIGHUP keeps what stands when the file is spoilt.
func TestAdmissionControl(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.conf")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("door on\ndoor-txns 3\ndoor-client header X-Client\ntenant acme share 0.7\n")
	t.Setenv("SWITCHFORK_OPERATOR", file)
	release := make(chan struct{})
	endpoint := agenttest.NewScriptedServer(t, nil)
	endpoint.SetHandler(func(c net.Conn, nth int) bool { <-release; return fakes.Respond(fakes.OKResponse("yes"))(c, nth) })
	a := startAgent(t, nil, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	ask := func(n int) (status int, wait string) {
		r, _ := http.NewRequest("GET", fmt.Sprintf("%s/lookup?sid=%016x", a.url, n), nil)
		r.Header.Set("X-Request-Id", strconv.Itoa(n))
		r.Header.Set("X-Tenant", "acme")
		r.Header.Set("X-Client", strconv.Itoa(n))
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Error(err)
			return 0, ""
		}
		res.Body.Close()
		return res.StatusCode, res.Header.Get("Retry-After")
	}
	var wait sync.WaitGroup
	statuses := make([]int, 3)
	for n := range 3 {
		wait.Add(1)
		go func() { defer wait.Done(); statuses[n], _ = ask(n + 1) }()
	}
	agenttest.Eventually(t, "three at the appliance", func() bool { return len(endpoint.Requests()) == 3 })
	for n := range 5 {
		status, back := ask(10 + n)
		if s, err := strconv.ParseFloat(back, 64); status != 503 || err != nil || s <= 0 || s > 0.5 {
			t.Errorf("a fourth txn got %d with Retry-After %q", status, back)
		}
	}
	close(release)
	wait.Wait()
	for n, s := range statuses {
		if s != 200 {
			t.Errorf("txn %d got %d", n+1, s)
		}
	}
	write("door onn\n")
	a.command.Process.Signal(syscall.SIGHUP)
	agenttest.Eventually(t, "the fault in the log", func() bool { return strings.Contains(a.log.String(), "operator.conf:1: door") })
	if status, _ := ask(99); status != 200 {
		t.Errorf("after a spoilt file a txn got %d", status)
	}
}

// One tenant's flood of clients that come once, twenty times what the door holds, with the appliance standing still: another
// tenant's txns that come last are let wait, and settled, and no one of the flood is left without an answer.
func TestTenantFlood(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.conf")
	if err := os.WriteFile(file, []byte("door on\ndoor-txns 48\ndoor-client header X-Client\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("SWITCHFORK_OPERATOR", file)
	release := make(chan struct{})
	endpoint := agenttest.NewScriptedServer(t, nil)
	endpoint.SetHandler(func(c net.Conn, nth int) bool { <-release; return fakes.Respond(fakes.OKResponse("yes"))(c, nth) })
	a := startAgent(t, func(conf string) string {
		conf = strings.ReplaceAll(conf, `"SloMs":600.0,"HardLimitMs":2000.0`, `"SloMs":30000.0,"HardLimitMs":60000.0`)
		return strings.ReplaceAll(conf, `"Parties":[{"Name":"acme"}]`, `"Parties":[{"Name":"acme","Fraction":0.5},{"Name":"beqa","Fraction":0.5}]`)
	}, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	a.waitHealthy(t)
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 100, MaxIdleConnsPerHost: 100}}
	ask := func(tenant string, n int) int {
		r, _ := http.NewRequest("GET", fmt.Sprintf("%s/lookup?sid=%016x", a.url, n), nil)
		r.Header.Set("X-Request-Id", fmt.Sprint(tenant, n))
		r.Header.Set("X-Tenant", tenant)
		r.Header.Set("X-Client", fmt.Sprint(tenant, n))
		res, err := client.Do(r)
		if err != nil {
			t.Error(err)
			return 0
		}
		res.Body.Close()
		return res.StatusCode
	}
	const many, quiet = 960, 5
	statuses := make(chan int, many)
	for n := range many {
		go func() { statuses <- ask("acme", n+1) }()
	}
	rejected := 0
	for range many - 48 { // all that the door does not hold
		if s := <-statuses; s == 503 {
			rejected++
		}
	}
	last := make(chan int, quiet)
	for n := range quiet {
		go func() { last <- ask("beqa", n+1) }()
	}
	for range quiet { // each takes the place of one of the flood
		if s := <-statuses; s == 503 {
			rejected++
		}
	}
	close(release)
	for range quiet {
		if s := <-last; s != 200 {
			t.Errorf("a quiet tenant's txn got %d", s)
		}
	}
	succeeded := 0
	for range 48 - quiet {
		if s := <-statuses; s == 200 {
			succeeded++
		}
	}
	if rejected != many-48+quiet || succeeded != 48-quiet {
		t.Errorf("of the flood %d were refused and %d settled, want %d and %d", rejected, succeeded, many-48+quiet, 48-quiet)
	}
}
