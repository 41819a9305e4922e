package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"switchfork/internal/fakes"
)

// The settings of the testbed.
const (
	testbedObjective = 800 * time.Millisecond
	testbedTimeout   = 2 * time.Second
	testbedEndpoints = 12
	testbedSlots     = 4
	testbedWork      = 40 * time.Millisecond
	testbedBuild     = 7
	testbedMemoryMB  = 128
	// testbedLoad is the load in requests per second. It is a sixth of the endpoints' capacity, because on a machine with few
	// cores the clients and the endpoints need CPU time too.
	testbedLoad = 200.0
	// testbedPostShare is the fraction of the requests that are POSTs.
	testbedPostShare = 0.4
)

// Operator files of the agent, with and without admission control.
const (
	operatorWithAdmission    = "admission-control on\nlog-form json\nadmission-client header X-Client\n"
	operatorWithoutAdmission = "log-form json\n"
)

// tenantNames are the names of the tenants, in the order of tenantShares.
var tenantNames = []string{"koro-array", "reef-calor", "tavua-muon", "beqa-scint"}

// agentProgram returns the path of the agent's program. If named is empty, it builds the program into dir.
func agentProgram(dir, named string) (string, error) {
	if named != "" {
		return named, nil
	}
	return fakes.BuildAgent(dir, "switchfork")
}

// agentLog holds an agent's log in JSON lines, and may be read while the agent runs.
type agentLog struct{ fakes.Log }

// logEntry is a log line, with the keys that the experiments read.
type logEntry struct {
	Message             string  `json:"msg"`
	AttemptResult       any     `json:"result"`
	ConcurrencyLimit    float64 `json:"limit"`
	Succeeded           float64 `json:"succeeded"`
	Rejected            float64 `json:"rejected"`
	ReservationsHonored float64 `json:"reservations_honored"`
	ReservationsMissed  float64 `json:"reservations_missed"`
}

// entries returns the lines that have the given message.
func (l *agentLog) entries(message string) (found []logEntry) {
	for _, text := range bytes.Split([]byte(l.String()), []byte("\n")) {
		var entry logEntry
		if json.Unmarshal(text, &entry) == nil && entry.Message == message {
			found = append(found, entry)
		}
	}
	return found
}

// testbed is an agent among fakes of its peers.
type testbed struct {
	deployment *fakes.Deployment
	agent      *fakes.Agent // nil: not running
	log        *agentLog
	dir        string
}

// startTestbed starts the fakes and the agent. If program is empty, it builds the agent.
func startTestbed(program, operatorFile string) (*testbed, error) {
	dir, err := os.MkdirTemp("", "switchfork-lab")
	if err != nil {
		return nil, err
	}
	t := &testbed{log: &agentLog{}, dir: dir}
	if err := t.start(program, operatorFile); err != nil {
		t.close()
		if log := t.log.String(); log != "" {
			return nil, fmt.Errorf("%w\n%s", err, log)
		}
		return nil, err
	}
	return t, nil
}

func (t *testbed) start(program, operatorFile string) error {
	program, err := agentProgram(t.dir, program)
	if err != nil {
		return err
	}
	t.deployment, err = fakes.NewDeployment(tenantNames, tenantShares, testbedObjective, testbedTimeout)
	if err != nil {
		return err
	}
	if _, err := t.deployment.Add(testbedEndpoints, fakes.EndpointOptions{Build: testbedBuild, Slots: testbedSlots, ServiceTime: testbedWork, Seed: 1}); err != nil {
		return err
	}
	t.agent, err = t.deployment.Start(fakes.DeploymentAgentOptions{
		Program: program, Dir: t.dir, OperatorFile: operatorFile, Build: testbedBuild, MemoryMB: testbedMemoryMB, Log: t.log,
	})
	return err
}

// stopAgent drains the agent, waits until it has exited and returns the error with which it exited.
func (t *testbed) stopAgent() error {
	err := t.agent.Stop()
	t.agent = nil
	return err
}

// close stops the agent and the fakes and removes their files. It ignores the error that stopAgent returns.
func (t *testbed) close() {
	if t.agent != nil {
		_ = t.stopAgent()
	}
	if t.deployment != nil {
		t.deployment.Close()
	}
	removeTemporary(t.dir)
}

// removeTemporary removes a temporary folder. Files that can't be removed are left to the operating system.
func removeTemporary(dir string) { _ = os.RemoveAll(dir) }

// newClients returns clients of the testbed's agent.
func (t *testbed) newClients() *fakes.Clients {
	return fakes.NewClients(t.agent.URL, testbedObjective, testbedTimeout)
}

// testbedClients returns a group of clients for each tenant. Each group sends its tenant's share of the load.
func testbedClients() (groups []fakes.ClientGroup) {
	for i, name := range tenantNames {
		groups = append(groups, fakes.ClientGroup{Tenant: name, Rate: testbedLoad * tenantShares[i], PostShare: testbedPostShare})
	}
	return groups
}

// runInBackground runs a task in a new goroutine. The channel is closed when the task has ended.
func runInBackground(task func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		task()
	}()
	return done
}
