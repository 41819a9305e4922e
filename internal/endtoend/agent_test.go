package endtoend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/proxy"
	"switchfork/internal/upstream"
)

// These start the program itself and speak to it as its parties do.

var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "switchfork")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "switchfork")
	out, err := exec.Command("go", "build", "-race", "-o", path, "switchfork/cmd/switchfork").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildProgram(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

const deploymentSettings = `{"Me":0,"Balancers":1,"Zone":0,"Discovery":"automatic","Localities":["suva"],

"Grades":[{"Name":"lookup","Repeat":"read_like","SloMs":600.0,"HardLimitMs":2000.0,"Worth":1.0},
{"Name":"posting","Repeat":"idempotency_key","KeyScope":"zone","WindowMs":8000.0,"SloMs":600.0,"HardLimitMs":2000.0,"Worth":5.0}],
"Parties":[{"Name":"acme"}],"Feedback":{"How":"on_probe","Fields":["queue"]},
"FamilyInfo":{"StageCap":[0.5,1.0],"StageShare":[0.5,1.0],"Shielded":0,"Swap":"beside","VoteStandsMs":4000.0,
"CallTimeoutMs":800.0,"ApiRate":50.0,"VoteMode":"any","VotesToGo":1,"NoesNeeded":1,"CountedOverMs":4000.0,"Allowance":30.0,
"CountedBy":"all"},"Safety":{"ColdFrom":0.3,"ColdMs":5000.0,"TipMultiple":2.0,"TipAfterMs":1500.0,"DrainGraceMs":1000.0,
"GraceToAnswerMs":20.0},"Limits":{"MaxAttempts":6,"DialTimeoutMs":250.0,"ConnIdleMs":30000.0,"RetryAfter":true,
"MaxRetryAfterMs":500.0,"Probes":true,"MayTell":false}}`

// runningAgent is the program at work among stand-ins.
type runningAgent struct {
	command           *exec.Cmd
	url               string
	discovery         *fakes.StreamServer
	rolloutController *fakes.StreamServer
	configPath        string // the configuration, and what stands in it
	config            string
	log               *fakes.Log
	exited            chan error
}

// startAgent writes the configuration and starts the program; change edits the configuration first.
func startAgent(t *testing.T, change func(string) string, hosts ...string) *runningAgent {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	a := &runningAgent{log: &fakes.Log{}, exited: make(chan error, 1)}
	a.discovery = agenttest.NewStreamServer(t, "\n", 100*time.Millisecond, func(string) string { return "" })
	a.rolloutController = agenttest.NewStreamServer(t, ":\n", 100*time.Millisecond, func(asked string) string {
		if strings.HasPrefix(asked, "POST") {
			return "400|<Error><Code>Throttling</Code></Error>"
		}
		return ":\n"
	})
	own, err := fakes.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	conf := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,
"sockets":1024},"platform":{"address":%q,"news":{"image":41,"ring":1,"progress":"live","ceiling":1,"lag_ms":9000}},
"known":%s,"settings":%s}`, own, a.discovery.Addr(), a.rolloutController.Addr(), fakes.ListDocument(1, true, hosts...), deploymentSettings)
	if change != nil {
		conf = change(conf)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	a.configPath, a.config = file, conf
	if err = os.WriteFile(file, []byte(conf), 0o600); err != nil {
		t.Fatal(err)
	}
	a.url = "http://" + own
	a.command = exec.Command(path)
	a.command.Env, a.command.Stderr = append(os.Environ(), "GW_CONFIG="+file), a.log
	if err = a.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { a.exited <- a.command.Wait() }()
	t.Cleanup(func() {
		a.command.Process.Kill()
		if t.Failed() {
			t.Log(a.log)
		}
	})
	if change == nil {
		a.waitHealthy(t)
	}
	return a
}

func (a *runningAgent) waitHealthy(t *testing.T) {
	t.Helper()
	agenttest.Eventually(t, "health", func() bool {
		r, err := http.Get(a.url + "/_health")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == 200
	})
}

// said is an answer as a client got it.
type clientResponse struct {
	status  int
	body    string
	header  http.Header
	latency time.Duration
}

var lastRequestID atomic.Uint64

// request sends one request as a client does.
func (a *runningAgent) request(t *testing.T, method, target, body string, with ...string) clientResponse {
	t.Helper()
	got, err := a.tryRequest(context.Background(), method, target, body, with...)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func (a *runningAgent) tryRequest(ctx context.Context, method, target, body string, with ...string) (clientResponse, error) {
	req, err := http.NewRequestWithContext(ctx, method, a.url, strings.NewReader(body))
	if err != nil {
		return clientResponse{}, err
	}
	req.URL.Opaque = target
	req.Header.Set("X-Request-Id", fmt.Sprintf("%016x", lastRequestID.Add(1)))
	if method == "POST" {
		req.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	for i := 0; i+1 < len(with); i += 2 {
		if req.Header.Set(with[i], with[i+1]); with[i+1] == "" {
			req.Header.Del(with[i])
		}
	}
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return clientResponse{}, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return clientResponse{res.StatusCode, string(raw), res.Header, time.Since(start)}, err
}

func TestRequestAndResponseUnchanged(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.Respond("HTTP/1.1 200 OK\r\nContent-Type: text/odd\r\nContent-Length: 4\r\n\r\n\x00\xff\n!"))
	a := startAgent(t, nil, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	target := "/posting//a/../b%2Fc?sid=7f3a9c21e0b4d655&odd;=%zz&&x"
	got := a.request(t, "POST", target, "some\r\nbody", "X-Request-Id", "9b1f03aa5c7e2d41", "X-Deadline-Ms", "900", "X-Tenant", "nobody", "X-Other", "kept")
	if got.status != 200 || got.body != "\x00\xff\n!" || got.header.Get("Content-Type") != "text/odd" {
		t.Errorf("client got %+v", got)
	}
	copies := endpoint.Requests()
	if len(copies) != 1 {
		t.Fatalf("%d copies arrived", len(copies))
	}
	c, wait := copies[0], 0
	fmt.Sscan(c.Header.Get("X-Deadline-Ms"), &wait)
	if c.RequestLine != "POST "+target || c.Body != "some\r\nbody" || c.Header.Get("X-Request-Id") != "9b1f03aa5c7e2d41" ||
		c.Header.Get("Idempotency-Key") != "5c0f6e1a" || c.Header.Get("X-Other") != "kept" || wait < 1 || wait > 900 ||
		len(c.Header["X-Deadline-Ms"]) != 1 {
		t.Errorf("arrived: %+v", c)
	}
	time.Sleep(2 * upstream.DefaultSettleTime) // from then on it is used, however much later
	a.request(t, "GET", "/lookup", "")
	if copies = endpoint.Requests(); copies[1].Conn != 1 {
		t.Error("the connection was not used again")
	}
}

// Agents that start together do not send their first, second, n-th txns without a key to one and the same appliance.
func TestAgentsSpreadKeylessRequests(t *testing.T) {
	var hosts []string
	for i := range 8 {
		name := fmt.Sprintf("s-%d", i)
		hosts = append(hosts, fakes.ListEntry(name, agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse(name))).Addr(), "active", 41))
	}
	const agents, requests = 3, 24
	var servedBy [agents][requests]string
	for i := range agents {
		a := startAgent(t, func(conf string) string { return strings.Replace(conf, "8c1f30d2", fmt.Sprintf("8c1f30d%d", i), 1) }, hosts...)
		a.waitHealthy(t)
		for n := range requests {
			servedBy[i][n] = a.request(t, "GET", "/lookup", "").body
		}
	}
	for n, alike := 0, 0; n < requests; n++ {
		if servedBy[0][n] == servedBy[1][n] && servedBy[1][n] == servedBy[2][n] {
			alike++
		}
		if alike > requests/4 { // by chance one in 64
			t.Fatalf("the agents' txns went the same way: %v", servedBy)
		}
	}
}

// Where no zones are named, all there is is in one, wherever the list says that it stands.
func TestNoZones(t *testing.T) {
	for _, zones := range []string{``, `"Localities":[],`} {
		endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("served")))
		a := startAgent(t, func(conf string) string { return strings.Replace(conf, `"Localities":["suva"],`, zones, 1) }, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
		a.waitHealthy(t)
		if got := a.request(t, "GET", "/lookup", ""); got.body != "served" {
			t.Errorf("zones %q: %+v", zones, got)
		}
	}
}

func TestInvalidRequests(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	a := startAgent(t, nil, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	for _, c := range []struct {
		method, target, body string
		with                 []string
		want                 int
	}{
		{"GET", "/nothing", "", nil, 404},
		{"GET", "/posting", "", nil, 405},
		{"DELETE", "/lookup", "", nil, 405},
		{"POST", "/posting", "", []string{"Idempotency-Key", ""}, 400},
		{"GET", "/lookup", "", []string{"X-Request-Id", ""}, 400},
		{"GET", "/lookup", "", []string{"X-Deadline-Ms", "soon"}, 400},
		{"GET", "/lookup", "", []string{"X-Deadline-Ms", "0"}, 504},
		{"POST", "/posting", strings.Repeat("x", 65537), nil, 413},
		{"GET", "/other", "", []string{"X-Class", "lookup"}, 404},
		{"GET", "/lookup", "", []string{"X-Class", "posting"}, 400},
		{"GET", "/lookup", "", []string{"X-Class", "lookup"}, 200},
	} {
		if got := a.request(t, c.method, c.target, c.body, c.with...); got.status != c.want {
			t.Errorf("%s %s %v: got %d %q, want %d", c.method, c.target, c.with, got.status, got.body, c.want)
		}
	}
	if n := len(endpoint.Requests()); n != 1 {
		t.Errorf("%d copies arrived, want the last one's", n)
	}
}

// exchangeRaw writes what a client may send and reads until the agent ends the connection.
func (a *runningAgent) exchangeRaw(t *testing.T, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(a.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, text)
	c.SetReadDeadline(time.Now().Add(agenttest.Patience))
	got, err := io.ReadAll(c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%.60q: neither closed nor answered, got %q", text, got)
	}
	return string(got)
}

// What is no request gets an error or a close in time, and nothing of it reaches an appliance.
func TestMalformedInput(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	a := startAgent(t, nil, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	head := "POST /posting HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\nIdempotency-Key: k\r\n"
	hidden := "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: 2\r\n\r\n"
	var wait sync.WaitGroup
	for _, c := range []struct{ text, want string }{
		{head + "Content-Length: 64\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "411"},
		{head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + hidden, "411"},
		{head + "Content-Length: 4\r\nContent-Length: 9\r\n\r\nbody" + hidden, "400"},
		{head + "Content-Length: -4\r\n\r\nbody" + hidden, "400"},
		{head + "Content-Length: 99999999999\r\n\r\nbody", "413"},
		{head + "X-Request-Id: 3\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody", "400"},
		{"GET /lookup HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20), ""},
		{"\x16\x03\x01 noise\r\n\r\n", "400"},
		{head + "Content-Length: 9\r\n\r\nhalf", "400"},
		{"GET /lookup HTTP/1.1\r\nHost: x\r\n", ""},
		{"", ""},
	} {
		wait.Go(func() {
			start := time.Now()
			got := a.exchangeRaw(t, c.text)
			if got != "" && !strings.HasPrefix(got, "HTTP/1.1 "+c.want) || strings.Count(got, "HTTP/1.1") > 1 {
				t.Errorf("%.90q got %.90q, want %s", c.text, got, c.want)
			}
			if took := time.Since(start); took > 3*time.Second {
				t.Errorf("%.60q: kept for %v", c.text, took)
			}
		})
	}
	wait.Wait()
	if n := len(endpoint.Requests()); n != 0 {
		t.Errorf("%d copies arrived: %+v", n, endpoint.Requests())
	}
}

// A second request under the id of an open txn gets an error; the first goes on, and then the id is free again.
func TestDuplicateRequestID(t *testing.T) {
	release := make(chan struct{})
	endpoint := agenttest.NewScriptedServer(t, func(c net.Conn, nth int) bool { <-release; return fakes.Respond(fakes.OKResponse("done"))(c, nth) })
	a := startAgent(t, nil, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	first := make(chan clientResponse, 1)
	go func() {
		got, _ := a.tryRequest(context.Background(), "GET", "/lookup", "", "X-Request-Id", "a1")
		first <- got
	}()
	agenttest.Eventually(t, "the copy", func() bool { return len(endpoint.Requests()) == 1 })
	if got := a.request(t, "POST", "/posting", "x", "X-Request-Id", "a1"); got.status != 409 {
		t.Errorf("the second got %+v", got)
	}
	close(release)
	if got := <-first; got.status != 200 || len(endpoint.Requests()) != 1 {
		t.Errorf("the first got %+v, %d copies", got, len(endpoint.Requests()))
	}
	agenttest.Eventually(t, "the id's freedom", func() bool { return a.request(t, "GET", "/lookup", "", "X-Request-Id", "a1").status == 200 })
}

// With nothing to send to, a txn is declined with advice; one that may have run gets an answer by its expiry.
func TestRejectedAndFailed(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	a := startAgent(t, nil, fakes.ListEntry("s-1", endpoint.Addr(), "leaving", 41))
	if got := a.request(t, "POST", "/posting", ""); got.status != 503 || got.header.Get("Retry-After") != "0.500" {
		t.Errorf("declined with %+v", got)
	}
	a.discovery.Publish(fakes.ListDocument(2, false, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41)))
	agenttest.Eventually(t, "the list", func() bool { return strings.Contains(a.log.String(), "seq=2") })
	got := a.request(t, "POST", "/posting", "", "X-Deadline-Ms", "300")
	if got.status != 504 || len(endpoint.Requests()) != 1 {
		t.Errorf("got %+v after %d copies", got, len(endpoint.Requests()))
	}
	if got.latency < 200*time.Millisecond {
		t.Errorf("answered after %v, before its time", got.latency)
	}
}

// A client that goes away ends nothing but its own txn.
func TestClientDisconnects(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	a := startAgent(t, nil, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan error)
	go func() { _, err := a.tryRequest(ctx, "GET", "/lookup", ""); left <- err }()
	agenttest.Eventually(t, "the copy", func() bool { return len(endpoint.Requests()) == 1 })
	leave()
	if err := <-left; err == nil {
		t.Error("answered all the same")
	}
	endpoint.SetHandler(fakes.Respond(fakes.OKResponse("done")))
	agenttest.Eventually(t, "the next one's answer", func() bool { return a.request(t, "GET", "/lookup", "").status == 200 })
}

// Nothing new goes to an appliance that drains; a host that is back with another build and address is served.
func TestDrainingEndpoint(t *testing.T) {
	first, second, third := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("1"))), agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("2"))), agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("3")))
	a := startAgent(t, nil, fakes.ListEntry("s-1", first.Addr(), "active", 41))
	if got := a.request(t, "GET", "/lookup", ""); got.body != "1" {
		t.Errorf("got %+v", got)
	}
	a.discovery.Publish(fakes.ListDocument(2, false, fakes.ListEntry("s-1", first.Addr(), "leaving", 41), fakes.ListEntry("s-2", second.Addr(), "active", 41)))
	agenttest.Eventually(t, "the drain", func() bool { return strings.Contains(a.log.String(), "seq=2") })
	for range 5 {
		if got := a.request(t, "GET", "/lookup", ""); got.body != "2" {
			t.Errorf("after the drain notice: %+v", got)
		}
	}
	a.discovery.Publish(fakes.ListDocument(3, false, fakes.ListEntry("s-1", third.Addr(), "active", 41), fakes.ListEntry("s-2", second.Addr(), "left", 41)))
	agenttest.Eventually(t, "the return", func() bool { return a.request(t, "GET", "/lookup", "").body == "3" })
	if len(first.Requests()) != 1 {
		t.Errorf("%d copies at the first", len(first.Requests()))
	}
}

// A build that fails is voted back, and again after the pause when the launcher says that it is full.
func TestRollbackVote(t *testing.T) {
	good, bad := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("1"))), agenttest.NewScriptedServer(t, fakes.Respond("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"))
	hosts := []string{fakes.ListEntry("s-1", good.Addr(), "active", 41)}
	for i := range 4 { // one alone is set aside before there is evidence enough
		hosts = append(hosts, fakes.ListEntry(fmt.Sprint("t-", i), bad.Addr(), "active", 42))
	}
	a := startAgent(t, nil, hosts...)
	agenttest.Eventually(t, "the bulletin", func() bool { return a.rolloutController.CallsContaining("/api/bulletin") > 0 })
	a.rolloutController.Publish(fakes.RolloutEvent(42, 0, "testing", 0.5))
	agenttest.Eventually(t, "the news", func() bool { return strings.Contains(a.log.String(), "build=42") })
	asked := 0
	vote := "image=42&ring=0&opinion=reject"
	agenttest.Eventually(t, "two votes", func() bool {
		asked++
		if got := a.request(t, "GET", fmt.Sprintf("/lookup?sid=%016x", asked), ""); got.status != 200 && got.status != 503 {
			t.Errorf("got %+v", got)
		}
		return a.rolloutController.CallsContaining(vote) >= 2
	})
	if len(bad.Requests()) < 10 {
		t.Errorf("voted after %d outcomes", len(bad.Requests()))
	}
}

// After SIGTERM what is open and what still comes is answered, each answer ends its connection, and the program
// ends well by itself.
func TestGracefulShutdown(t *testing.T) {
	release := make(chan struct{})
	endpoint := agenttest.NewScriptedServer(t, func(c net.Conn, nth int) bool {
		if nth == 1 {
			<-release
		}
		return fakes.Respond(fakes.OKResponse("done"))(c, nth)
	})
	a := startAgent(t, nil, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	open := make(chan clientResponse, 1)
	go func() {
		got, _ := a.tryRequest(context.Background(), "GET", "/lookup", "", "X-Deadline-Ms", "2000")
		open <- got
	}()
	agenttest.Eventually(t, "the copy", func() bool { return len(endpoint.Requests()) == 1 })
	if err := a.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	agenttest.Eventually(t, "the drain", func() bool { return strings.Contains(a.log.String(), "drains") })
	c, err := net.Dial("tcp", strings.TrimPrefix(a.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: 2\r\nX-Deadline-Ms: 2000\r\n\r\n")
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	if err != nil || res.StatusCode != 200 || !res.Close {
		t.Errorf("a late comer got %+v, %v", res, err)
	}
	close(release)
	if got := <-open; got.status != 200 || got.body != "done" {
		t.Errorf("the open one got %+v", got)
	}
	select {
	case err := <-a.exited:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(agenttest.Patience):
		t.Error("did not end")
	}
}

// With hardly any descriptors and far more clients, every txn has its answer, and then all is well again.
func TestMoreClientsThanDescriptors(t *testing.T) {
	release := make(chan struct{})
	endpoint := agenttest.NewScriptedServer(t, func(c net.Conn, nth int) bool { <-release; return fakes.Respond(fakes.OKResponse("done"))(c, nth) })
	agent := startAgent(t, func(conf string) string { return strings.Replace(conf, `"sockets":1024`, `"sockets":64`, 1) },
		fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	agent.waitHealthy(t)
	var wait sync.WaitGroup
	var mu sync.Mutex
	got := map[int]int{}
	for range 100 {
		wait.Go(func() {
			response, err := agent.tryRequest(context.Background(), "GET", "/lookup", "", "X-Deadline-Ms", "1900")
			mu.Lock()
			defer mu.Unlock()
			if got[response.status]++; err != nil {
				t.Error(err)
			}
		})
	}
	agenttest.Eventually(t, "a refusal for want of room", func() bool { return strings.Contains(agent.log.String(), "no room for another txn") })
	close(release)
	wait.Wait()
	if got[200] == 0 || got[200] != len(endpoint.Requests()) || got[503] == 0 || got[200]+got[503] != 100 {
		t.Errorf("answers by status: %v, with %d copies", got, len(endpoint.Requests()))
	}
	if again := agent.request(t, "GET", "/lookup", ""); again.status != 200 {
		t.Errorf("then got %+v", again)
	}
}

// Far more silent connections than descriptors keep nobody waiting, and each is closed in time.
func TestSilentConnections(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	agent := startAgent(t, func(conf string) string { return strings.Replace(conf, `"sockets":1024`, `"sockets":64`, 1) },
		fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	agent.waitHealthy(t)
	var wait sync.WaitGroup
	for range 60 {
		c, err := net.Dial("tcp", strings.TrimPrefix(agent.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		came := time.Now()
		wait.Go(func() {
			defer c.Close()
			c.SetReadDeadline(came.Add(agenttest.Patience))
			if _, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) || time.Since(came) > 3*time.Second {
				t.Errorf("kept for %v, %v", time.Since(came), err)
			}
		})
	}
	if got := agent.request(t, "GET", "/lookup", "", "X-Deadline-Ms", "1900"); got.status != 200 {
		t.Errorf("behind a silent crowd: %+v", got)
	}
	wait.Wait()
}

// Clients that ask once and keep their connection hold few: beyond those, the one idle longest ends before its time.
func TestIdleConnectionLimit(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	agent := startAgent(t, func(conf string) string { return strings.Replace(conf, `"sockets":1024`, `"sockets":64`, 1) },
		fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	agent.waitHealthy(t)
	var first net.Conn
	start := time.Now()
	for i := range 8 {
		c, err := net.Dial("tcp", strings.TrimPrefix(agent.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: once%d\r\n\r\n", i)
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != 200 {
			t.Fatalf("got %+v, %v", res, err)
		}
		if first == nil {
			first = c
		}
		for fell := time.Now(); time.Since(fell) < 10*time.Millisecond; { // one that fell idle just now is left
			time.Sleep(time.Millisecond)
		}
	}
	first.SetReadDeadline(start.Add(agenttest.Patience))
	if _, err := io.ReadAll(first); err != nil || time.Since(start) > proxy.IdleTimeout/2 {
		t.Errorf("the first one ended after %v, %v", time.Since(start), err)
	}
}

// A request that stood unread while the agent was stopped has that much less time left.
func TestQueueDelayCountsTowardsDeadline(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	a := startAgent(t, nil, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	if err := a.command.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	// The signal's sender goes on before all threads have stopped: one of them could still take the request.
	agenttest.Eventually(t, "all threads to stand still", func() bool { return allThreadsStopped(a.command.Process.Pid) })
	c, err := net.Dial("tcp", strings.TrimPrefix(a.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: 2\r\nX-Deadline-Ms: 2000\r\n\r\n")
	sent := time.Now()
	for time.Since(sent) < time.Second { // the standstill itself
		time.Sleep(10 * time.Millisecond)
	}
	if err := a.command.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	agenttest.Eventually(t, "the copy", func() bool { return len(endpoint.Requests()) == 1 })
	wait := 0
	fmt.Sscan(endpoint.Requests()[0].Header.Get("X-Deadline-Ms"), &wait)
	if wait < 1 || wait > 1050 {
		t.Errorf("the appliance was told to have %d ms", wait)
	}
}

// allThreadsStopped tells whether every thread of a process stands still by a signal.
func allThreadsStopped(pid int) bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, name := range threads {
		stat, err := os.ReadFile(name)
		if _, state, _ := strings.Cut(string(stat), ") "); err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(threads) > 0
}

// SIGHUP moves the agent to the addresses that the file names now, without losing a change; a faulty file changes
// nothing, and other keys are named.
func TestReload(t *testing.T) {
	first, second := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("1"))), agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("2")))
	a := startAgent(t, nil, fakes.ListEntry("s-1", first.Addr(), "active", 41))
	agenttest.Eventually(t, "the start's watch and news", func() bool {
		return a.discovery.CallsContaining("index=1") == 1 && a.rolloutController.CallsContaining("bulletin") == 1
	})
	reload := func(want string, change ...string) {
		t.Helper()
		conf, seen := strings.NewReplacer(change...).Replace(a.config), strings.Count(a.log.String(), want)
		if err := os.WriteFile(a.configPath, []byte(conf), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := a.command.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		agenttest.Eventually(t, want, func() bool { return strings.Count(a.log.String(), want) > seen })
	}
	reload("the old stays in force", `{"name"`, `{"name`)
	reload("config.settings.Limits.DialTimeoutMs is 0", `"DialTimeoutMs":250.0`, `"DialTimeoutMs":0`)
	reload(`platform.address=""`)
	reload("config.limits.sockets", `"sockets":1024`, `"sockets":512`)
	if a.discovery.CallsContaining("") != 1 || a.rolloutController.CallsContaining("") != 1 {
		t.Errorf("what did not change was asked anew: %q, %q", a.discovery.Targets(), a.rolloutController.Targets())
	}

	hosts := fakes.ListDocument(2, true, fakes.ListEntry("s-1", first.Addr(), "leaving", 41), fakes.ListEntry("s-2", second.Addr(), "active", 41))
	newDiscovery := agenttest.NewStreamServer(t, "\n", 100*time.Millisecond, func(asked string) string {
		if strings.Contains(asked, "stream") {
			return ""
		}
		return hosts
	})
	newController := agenttest.NewStreamServer(t, ":\n", 100*time.Millisecond, func(string) string { return fakes.RolloutEvent(43, 0, "testing", 0.5) })
	silent := agenttest.Listen(t)
	reload("reload", a.discovery.Addr(), silent.Addr().String()) // one that says nothing leaves the old one in force
	a.discovery.Publish(fakes.ListDocument(2, false, fakes.ListEntry("s-3", second.Addr(), "left", 41)))
	agenttest.Eventually(t, "a change from the old address", func() bool { return strings.Contains(a.log.String(), "seq=2") })
	reload("reload", a.discovery.Addr(), newDiscovery.Addr(), a.rolloutController.Addr(), newController.Addr())
	agenttest.Eventually(t, "the new list", func() bool { return a.request(t, "GET", "/lookup", "").body == "2" })
	agenttest.Eventually(t, "the new news", func() bool { return strings.Contains(a.log.String(), "build=43") })
	agenttest.Eventually(t, "the end of the old streams", func() bool { return a.discovery.Closed() == 1 && a.rolloutController.Closed() == 1 })
	agenttest.Eventually(t, "the new watch", func() bool { return newDiscovery.CallsContaining("index=2") == 1 })
	if a.discovery.CallsContaining("") != 1 || a.rolloutController.CallsContaining("") != 1 {
		t.Errorf("the old addresses were asked again: %q, %q", a.discovery.Targets(), a.rolloutController.Targets())
	}
}

// What is wrong with the configuration stops the start with one line that names it.
func TestInvalidConfigFile(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"SloMs":600.0`, `"SloMs":"soon"`, "config.settings.Grades.0.SloMs is \\\"soon\\\", not a number"},
		{`"Swap":"beside"`, `"Swap":"above"`, "config.settings.FamilyInfo.Swap"},
		{`"SloMs":600.0`, `"SloMs":0`, "config.settings.Grades.0.SloMs is 0"},
		{`"DialTimeoutMs":250.0`, `"DialTimeoutMs":0`, "config.settings.Limits.DialTimeoutMs"},
		{`"seed":"8c`, `"seed":"xx`, "config.seed"},
		{`"sockets":1024`, `"sockets":9`, "config.limits.sockets"},
		{`"discovery":"127`, `"discovery":"127.0.0.1","was":"127`, "config.discovery"},
		{`"Balancers":1`, `"Balancers":0`, "config.settings.Balancers is 0"},
		{`"progress":"live"`, `"progress":"odd"`, "config.platform.news"},
		{`"seq":1`, `"seq":"one"`, "config.known"},
		{`{"name"`, `{"name`, "GW_CONFIG"},
	} {
		a := startAgent(t, func(conf string) string { return strings.Replace(conf, c.from, c.to, 1) })
		select {
		case err := <-a.exited:
			if log := a.log.String(); err == nil || !strings.Contains(log, c.want) || strings.Count(log, "\n") != 1 {
				t.Errorf("%s: %v, log %q", c.to, err, log)
			}
		case <-time.After(agenttest.Patience):
			t.Errorf("%s: started all the same", c.to)
		}
	}
}
