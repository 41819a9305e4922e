package endtoend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
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
		_ = os.RemoveAll(filepath.Dir(path)) // what is left is a temporary file
	}
	os.Exit(code)
}

// deploymentSettings is the settings object of the configuration that the tests start from.
const deploymentSettings = `{"Me":0,"Balancers":1,"Zone":0,"Discovery":"automatic","Localities":["suva"],

"Grades":[{"Name":"lookup","Repeat":"read_like","SloMs":600.0,"HardLimitMs":2000.0,"Worth":1.0},
{"Name":"posting","Repeat":"idempotency_key","KeyScope":"zone","WindowMs":8000.0,"SloMs":600.0,"HardLimitMs":2000.0,"Worth":5.0}],
"Parties":[{"Name":"acme"}],"Feedback":{"How":"on_probe","Fields":["queue"]},
"FamilyInfo":{"StageCap":[0.5,1.0],"StageShare":[0.5,1.0],"Shielded":0,"Swap":"beside","VoteStandsMs":4000.0,
"CallTimeoutMs":800.0,"ApiRate":50.0,"VoteMode":"any","VotesToGo":1,"NoesNeeded":1,"CountedOverMs":4000.0,"Allowance":30.0,
"CountedBy":"all"},"Safety":{"ColdFrom":0.3,"ColdMs":5000.0,"TipMultiple":2.0,"TipAfterMs":1500.0,"DrainGraceMs":1000.0,
"GraceToAnswerMs":20.0},"Limits":{"MaxAttempts":6,"DialTimeoutMs":250.0,"ConnIdleMs":30000.0,"RetryAfter":true,
"MaxRetryAfterMs":500.0,"Probes":true,"MayTell":false}}`

// runningAgent is a process of the program with the fakes that it speaks to.
type runningAgent struct {
	command           *exec.Cmd
	url               string
	discovery         *fakes.StreamServer
	rolloutController *fakes.StreamServer
	configPath        string
	config            string // the content of the file
	log               *fakes.Log
	exited            chan error // the result of the process
}

// startAgent writes the configuration and starts the program. change, unless it is nil, edits the configuration first.
func startAgent(t *testing.T, change func(string) string, hosts ...string) *runningAgent {
	t.Helper()
	binary, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	a := &runningAgent{log: &fakes.Log{}, exited: make(chan error, 1)}
	a.discovery = agenttest.NewStreamServer(t, "\n", 100*time.Millisecond, func(string) string { return "" })
	a.rolloutController = agenttest.NewStreamServer(t, ":\n", 100*time.Millisecond, func(target string) string {
		if strings.HasPrefix(target, "POST") {
			return "400|<Error><Code>Throttling</Code></Error>"
		}
		return ":\n"
	})
	address, err := fakes.FreeAddress(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,
"sockets":1024},"platform":{"address":%q,"news":{"image":41,"ring":1,"progress":"live","ceiling":1,"lag_ms":9000}},
"known":%s,"settings":%s}`, address, a.discovery.Addr(), a.rolloutController.Addr(), fakes.ListDocument(1, true, hosts...), deploymentSettings)
	if change != nil {
		config = change(config)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	a.configPath = path
	a.config = config
	if err = os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	a.url = "http://" + address
	a.command = exec.CommandContext(context.Background(), binary) // killed below, and not before the other cleanups
	a.command.Env = append(os.Environ(), "GW_CONFIG="+path)
	a.command.Stderr = a.log
	if err = a.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { a.exited <- a.command.Wait() }()
	t.Cleanup(func() {
		_ = a.command.Process.Kill() // fails where it has exited
		if t.Failed() {
			t.Log(a.log)
		}
	})
	if change == nil {
		a.waitHealthy(t)
	}
	return a
}

// dial opens a connection as a client does.
func (a *runningAgent) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(a.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// send writes text to a connection.
func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// readStatus reads a response's head and body and returns its status and whether it ends the connection.
func readStatus(conn io.Reader) (status int, isLast bool, err error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = response.Body.Close() }() // read whole, or the connection has failed
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}

// parseMilliseconds parses the time that a request gives its endpoint.
func parseMilliseconds(t *testing.T, header http.Header) int {
	t.Helper()
	milliseconds, err := strconv.Atoi(header.Get("X-Deadline-Ms"))
	if err != nil {
		t.Fatal(err)
	}
	return milliseconds
}

// waitHealthy waits until the health endpoint answers.
func (a *runningAgent) waitHealthy(t *testing.T) {
	t.Helper()
	agenttest.Eventually(t, "health", func() bool {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, a.url+"/_health", nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// clientResponse is a response as a client got it.
type clientResponse struct {
	status  int
	body    string
	header  http.Header
	latency time.Duration
}

// lastRequestID numbers requests, so that no two have one id.
var lastRequestID atomic.Uint64

// request sends one request as a client does; headers are names and values in turn, where an empty value removes the header.
func (a *runningAgent) request(t *testing.T, method, target, body string, headers ...string) clientResponse {
	t.Helper()
	response, err := a.tryRequest(context.Background(), method, target, body, headers...)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// tryRequest is request for a client that may get no response.
func (a *runningAgent) tryRequest(ctx context.Context, method, target, body string, headers ...string) (clientResponse, error) {
	request, err := http.NewRequestWithContext(ctx, method, a.url, strings.NewReader(body))
	if err != nil {
		return clientResponse{}, err
	}
	request.URL.Opaque = target
	request.Header.Set("X-Request-Id", fmt.Sprintf("%016x", lastRequestID.Add(1)))
	if method == http.MethodPost {
		request.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	for i := 0; i+1 < len(headers); i += 2 {
		name, value := headers[i], headers[i+1]
		request.Header.Set(name, value)
		if value == "" {
			request.Header.Del(name)
		}
	}
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return clientResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return clientResponse{response.StatusCode, string(content), response.Header, time.Since(start)}, err
}
