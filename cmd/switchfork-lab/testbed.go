package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"switchfork/internal/fakes"
)

// The deployment of the testbed.
const (
	testbedObjective = 800 * time.Millisecond
	testbedTimeout   = 2 * time.Second
	testbedEndpoints = 12
	testbedSlots     = 4
	testbedWork      = 40 * time.Millisecond
	testbedBuild     = 7
	testbedMemoryMB  = 128
	// testbedLoad in requests a second is a sixth of the endpoints' capacity: on a machine with few cores the clients and the
	// endpoints need some themselves.
	testbedLoad = 200.0
	// testbedPostShare of the requests are POSTs.
	testbedPostShare = 0.4
)

// Operator files of the agent, with and without admission control.
const (
	operatorWithAdmission    = "admission-control on\nlog-form json\nadmission-client header X-Client\n"
	operatorWithoutAdmission = "log-form json\n"
)

// tenantNames go with tenantShares.
var tenantNames = []string{"koro-array", "reef-calor", "tavua-muon", "beqa-scint"}

// agentProgram returns the path of the agent's program: the named one, or else one that it builds into a folder.
func agentProgram(dir, named string) (string, error) {
	if named != "" {
		return named, nil
	}
	return fakes.BuildAgent(dir, "switchfork")
}

// agentLog holds an agent's log in JSON lines, and may be read while the agent runs.
type agentLog struct{ fakes.Log }

// logEntry is a log line with those keys that the experiments read.
type logEntry struct {
	Message             string  `json:"msg"`
	AttemptResult       any     `json:"result"`
	ConcurrencyLimit    float64 `json:"limit"`
	Succeeded           float64 `json:"succeeded"`
	Rejected            float64 `json:"rejected"`
	ReservationsHonored float64 `json:"reservations_honored"`
	ReservationsMissed  float64 `json:"reservations_missed"`
}

// entries returns the lines with a message.
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

// startTestbed starts the fakes and the agent: a program, or a new build where it is empty.
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

// stopAgent drains the agent and returns how it ended.
func (t *testbed) stopAgent() error {
	err := t.agent.Stop()
	t.agent = nil
	return err
}

// close stops and removes everything. The agent's end is no longer of interest here; stopAgent returns it.
func (t *testbed) close() {
	if t.agent != nil {
		_ = t.stopAgent()
	}
	if t.deployment != nil {
		t.deployment.Close()
	}
	removeTemporary(t.dir)
}

// removeTemporary removes a folder of the system's temporary files. What can't be removed is left to the system.
func removeTemporary(dir string) { _ = os.RemoveAll(dir) }

// newClients returns clients of the testbed's agent.
func (t *testbed) newClients() *fakes.Clients {
	return fakes.NewClients(t.agent.URL, testbedObjective, testbedTimeout)
}

// testbedClients returns the clients of each tenant, who send its share of the load.
func testbedClients() (groups []fakes.ClientGroup) {
	for i, name := range tenantNames {
		groups = append(groups, fakes.ClientGroup{Tenant: name, Rate: testbedLoad * tenantShares[i], PostShare: testbedPostShare})
	}
	return groups
}

// runInBackground runs a task in a goroutine of its own. The channel is closed when it has ended.
func runInBackground(task func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		task()
	}()
	return done
}
