package endtoend

import (
	"context"
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

// With admission control on, the program holds at most as many requests as the operator's file allows, rejects further requests with a
// Retry-After header, and answers each request that it has admitted. Reloading a malformed operator's file leaves the options in force.
func TestAdmissionControl(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.conf")
	writeOperatorFile := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeOperatorFile("admission-control on\nadmission-requests 3\nadmission-client header X-Client\ntenant acme share 0.7\n")
	t.Setenv("SWITCHFORK_OPERATOR", file)
	release := make(chan struct{})
	endpoint := agenttest.NewScriptedServer(t, nil)
	endpoint.SetHandler(func(c net.Conn, nth int) bool { <-release; return fakes.Respond(fakes.OKResponse("yes"))(c, nth) })
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	request := func(n int) (status int, retryAfter string) {
		got := agent.requestAs(t, "acme", strconv.Itoa(n), n)
		return got.status, got.header.Get("Retry-After")
	}
	var pending sync.WaitGroup
	statuses := make([]int, 3)
	for n := range 3 {
		pending.Add(1)
		go func() { defer pending.Done(); statuses[n], _ = request(n + 1) }()
	}
	agenttest.Eventually(t, "three requests at the endpoint", func() bool { return len(endpoint.Requests()) == 3 })
	for n := range 5 {
		status, retryAfter := request(10 + n)
		seconds, err := strconv.ParseFloat(retryAfter, 64)
		if status != http.StatusServiceUnavailable || err != nil || seconds <= 0 || seconds > 0.5 {
			t.Errorf("request beyond the limit of 3: got status %d with Retry-After %q, want 503 with more than 0 and at most 0.5 s", status, retryAfter)
		}
	}
	close(release)
	pending.Wait()
	for n, status := range statuses {
		if status != http.StatusOK {
			t.Errorf("request %d: got status %d, want 200", n+1, status)
		}
	}
	writeOperatorFile("admission-control onn\n")
	agent.signal(t, syscall.SIGHUP)
	agenttest.Eventually(t, "the log entry on the malformed file", func() bool { return strings.Contains(agent.log.String(), "operator.conf:1: admission-control") })
	if status, _ := request(99); status != http.StatusOK {
		t.Errorf("request after the reload of a malformed file: got status %d, want 200", status)
	}
}

// requestAs sends an idempotent request for a tenant. The client's ID is also the request's ID, and key is the sid parameter. If there is
// no response, requestAs fails the test and returns status 0.
func (a *runningAgent) requestAs(t *testing.T, tenant, client string, key int) clientResponse {
	t.Helper()
	response, err := a.tryRequest(context.Background(), http.MethodGet, fmt.Sprintf("/lookup?sid=%016x", key), "",
		"X-Request-Id", client, "X-Tenant", tenant, "X-Client", client)
	if err != nil {
		t.Error(err)
		return clientResponse{}
	}
	return response
}

// While the endpoint does not respond, one tenant sends twenty times as many requests as admission control holds, each from a different
// client. Another tenant's requests that arrive last are queued nevertheless and succeed, and each request of the flood gets a response.
func TestTenantFlood(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.conf") // uses keywords of earlier versions, which are still accepted
	if err := os.WriteFile(file, []byte("door on\ndoor-txns 48\ndoor-client header X-Client\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("SWITCHFORK_OPERATOR", file)
	release := make(chan struct{})
	endpoint := agenttest.NewScriptedServer(t, nil)
	endpoint.SetHandler(func(c net.Conn, nth int) bool { <-release; return fakes.Respond(fakes.OKResponse("yes"))(c, nth) })
	agent := startAgent(t, func(config string) string {
		config = strings.ReplaceAll(config, `"SloMs":600.0,"HardLimitMs":2000.0`, `"SloMs":30000.0,"HardLimitMs":60000.0`)
		return strings.ReplaceAll(config, `"Parties":[{"Name":"acme"}]`, `"Parties":[{"Name":"acme","Fraction":0.5},{"Name":"beqa","Fraction":0.5}]`)
	}, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	agent.waitHealthy(t)
	agent.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 100, MaxIdleConnsPerHost: 100}}
	request := func(tenant string, n int) int { return agent.requestAs(t, tenant, fmt.Sprint(tenant, n), n).status }
	const capacity, floodSize, otherTenantRequests = 48, 20 * 48, 5
	statuses := make(chan int, floodSize)
	for n := range floodSize {
		go func() { statuses <- request("acme", n+1) }()
	}
	rejected := 0
	for range floodSize - capacity { // the requests that exceed the capacity
		if status := <-statuses; status == http.StatusServiceUnavailable {
			rejected++
		}
	}
	otherTenantStatuses := make(chan int, otherTenantRequests)
	for n := range otherTenantRequests {
		go func() { otherTenantStatuses <- request("beqa", n+1) }()
	}
	for range otherTenantRequests { // each displaces one request of the flood
		if status := <-statuses; status == http.StatusServiceUnavailable {
			rejected++
		}
	}
	close(release)
	for range otherTenantRequests {
		if status := <-otherTenantStatuses; status != http.StatusOK {
			t.Errorf("request of the other tenant: got status %d, want 200", status)
		}
	}
	succeeded := 0
	for range capacity - otherTenantRequests {
		if status := <-statuses; status == http.StatusOK {
			succeeded++
		}
	}
	if rejected != floodSize-capacity+otherTenantRequests || succeeded != capacity-otherTenantRequests {
		t.Errorf("requests of the flood: got %d rejected and %d successful, want %d and %d", rejected, succeeded, floodSize-capacity+otherTenantRequests, capacity-otherTenantRequests)
	}
}

// A marked retry is never served the answer to another question about the same object, which is in progress.
func TestRetryGetsAnswerToItsOwnQuestion(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.conf")
	if err := os.WriteFile(file, []byte("admission-control on\ncoalesce-requests on\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("SWITCHFORK_OPERATOR", file)
	var bothAsked sync.WaitGroup
	bothAsked.Add(2)
	endpoint := agenttest.NewScriptedServer(t, nil)
	endpoint.SetHandler(func(c net.Conn, nth int) bool {
		bothAsked.Done()
		bothAsked.Wait()
		return fakes.Respond(fakes.OKResponse(endpoint.Requests()[nth-1].RequestLine))(c, nth)
	})
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	var pending sync.WaitGroup
	ask := func(target string, headers ...string) {
		pending.Go(func() {
			got, err := agent.tryRequest(t.Context(), http.MethodGet, target, "", headers...)
			if err != nil || got.status != http.StatusOK || got.body != "GET "+target {
				t.Errorf("%s: got status %d with %q, error %v; want 200 with its own answer", target, got.status, got.body, err)
			}
		})
	}
	ask("/lookup?sid=0000000000000007&copies=5000")
	agenttest.Eventually(t, "the first question at the endpoint", func() bool { return len(endpoint.Requests()) == 1 })
	ask("/lookup?sid=0000000000000007&copies=100", "X-Retry", "1")
	pending.Wait()
}
